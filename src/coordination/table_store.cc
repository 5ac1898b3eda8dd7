// A batch is written under a key that no other write uses, then `head` is
// swapped to name it. Only the swap decides. When its answer is lost, `head` is
// read back: if it or its history names the write id, the batch is accepted; if
// another write came first, this one can never take effect, because its swap
// expects an older version; only if `head` is still the old one may the swap
// yet arrive, and it is repeated.

#include "kumquatmoor/coordination/table_store.h"

#include <google/protobuf/util/json_util.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include "kumquatmoor/protocol/json_reader.h"
#include "kumquatmoor/state/batch.h"

namespace kumquatmoor {
namespace {

namespace json = boost::json;

constexpr char kHeadKey[] = "head";
constexpr char kMarksKey[] = "marks";
constexpr int kMaxTries = 8;

std::string ToJson(const google::protobuf::Message& message) {
  std::string text;
  google::protobuf::util::MessageToJsonString(message, &text);
  return text;
}

bool FromJson(const std::string& text, google::protobuf::Message* message) {
  google::protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = true;
  return google::protobuf::util::JsonStringToMessage(text, message, options)
      .ok();
}

std::string BatchKey(const Batch& batch) {
  return fmt::format("batch/{:012}-{}", batch.revision(), batch.write_id());
}

Result<MarkSet> ParseMarks(const PlatformEntry& entry) {
  MarkSet marks;
  if (entry.version == 0) return marks;
  SyncReply holder;
  if (!FromJson(entry.value, &holder)) {
    return Fail(FailureCode::kInvalid, "the marks on the platform are damaged");
  }
  for (const auto& mark : holder.marks()) marks.Join(mark);
  return marks;
}

}  // namespace

// What a batch is built on.
struct TableStore::Base {
  Head head;
  Batch batch;
  std::string key;
  MarkSet marks;
};

const HeadEntry* Head::FindWrite(const std::string& write_id) const {
  auto found = std::find_if(
      entries.begin(), entries.end(),
      [&](const HeadEntry& entry) { return entry.write_id == write_id; });
  return found == entries.end() ? nullptr : &*found;
}

std::string FormatHead(const Head& head) {
  json::array list;
  for (const auto& entry : head.entries) {
    list.push_back({{"revision", entry.revision},
                    {"key", entry.key},
                    {"write_id", entry.write_id},
                    {"author", entry.author},
                    {"written_ms", entry.written_ms}});
  }
  return json::serialize(json::object{{"entries", std::move(list)}});
}

Result<Head> ParseHead(const PlatformEntry& entry) {
  Head head;
  head.version = entry.version;
  if (entry.version == 0) return head;
  json::error_code error;
  const auto value = json::parse(entry.value, error);
  const auto* object = value.if_object();
  const auto* list =
      error || object == nullptr ? nullptr : object->if_contains("entries");
  if (list == nullptr || !list->is_array() || list->as_array().empty()) {
    return Fail(FailureCode::kInvalid, "the head on the platform is damaged");
  }
  std::vector<std::string> problems;
  for (const auto& item : list->as_array()) {
    JsonReader reader(item, "head", &problems);
    HeadEntry parsed;
    parsed.revision = static_cast<uint64_t>(reader.Integer("revision", {}));
    parsed.key = reader.RequiredString("key");
    parsed.write_id = reader.RequiredString("write_id");
    parsed.author = reader.String("author", "");
    parsed.written_ms = reader.Integer("written_ms", {});
    head.entries.push_back(std::move(parsed));
  }
  if (!problems.empty()) {
    return Fail(FailureCode::kInvalid,
                "the head on the platform is damaged: " + problems.front());
  }
  return head;
}

Result<Head> TableStore::ReadHead() {
  BOOST_LEAF_AUTO(entry, m_platform->Get(kHeadKey));
  return ParseHead(entry);
}

Result<Batch> TableStore::ReadBatch(const std::string& key) {
  BOOST_LEAF_AUTO(entry, m_platform->Get(key));
  if (entry.version == 0) {
    return Fail(FailureCode::kNotFound, "there is no " + key);
  }
  Batch batch;
  if (!FromJson(entry.value, &batch)) {
    return Fail(FailureCode::kInvalid, key + " is damaged");
  }
  return batch;
}

Result<TableStore::Base> TableStore::ReadSnapshot() {
  Base base;
  BOOST_LEAF_AUTO(head, ReadHead());
  base.head = std::move(head);
  if (!base.head.entries.empty()) {
    base.key = base.head.entries.front().key;
    BOOST_LEAF_AUTO(batch, ReadBatch(base.key));
    base.batch = std::move(batch);
  }
  BOOST_LEAF_AUTO(marks, ReadMarks());
  base.marks = std::move(marks);
  return base;
}

Result<Batch> TableStore::ReadCurrent() {
  BOOST_LEAF_AUTO(base, ReadSnapshot());
  return std::move(base.batch);
}

Result<MarkSet> TableStore::ReadMarks() {
  BOOST_LEAF_AUTO(entry, m_platform->Get(kMarksKey));
  return ParseMarks(entry);
}

Result<bool> TableStore::MergeMarks(const MarkSet& marks, const Batch& batch) {
  BOOST_LEAF_AUTO(entry, m_platform->Get(kMarksKey));
  BOOST_LEAF_AUTO(merged, ParseMarks(entry));
  const uint64_t before = merged.Hash();
  for (const auto& mark : marks.All()) merged.Join(mark);
  merged.Prune(batch);
  if (merged.Hash() == before) return false;
  SyncReply holder;
  for (auto& mark : merged.All()) *holder.add_marks() = std::move(mark);
  BOOST_LEAF_CHECK(
      m_platform->CompareAndSwap(kMarksKey, entry.version, ToJson(holder)));
  return true;
}

ApplyOutcome TableStore::Apply(const ApplyRequest& request) {
  std::string reason = "other writes kept coming first";
  for (int i = 0; i < kMaxTries; ++i) {
    bool retry = false;
    auto tried = Attempt([&] { return TryApply(request, &retry); });
    if (auto* failure = std::get_if<Failure>(&tried)) {
      if (failure->code == FailureCode::kInvalid ||
          failure->code == FailureCode::kNotFound) {
        return Refused{{{.message = failure->message}}};
      }
      reason = failure->message;
    } else if (!retry) {
      return std::get<ApplyOutcome>(std::move(tried));
    }
    std::this_thread::sleep_for(m_retry_pause);
  }
  return NotAccepted{reason};
}

Result<std::vector<TableRow>> TableStore::RowsAt(const Base& base,
                                                 uint64_t revision) {
  if (revision == base.head.Revision()) return RowsOf(base.batch);
  if (revision == 0) return std::vector<TableRow>();
  for (const auto& entry : base.head.entries) {
    if (entry.revision != revision) continue;
    BOOST_LEAF_AUTO(batch, ReadBatch(entry.key));
    return RowsOf(batch);
  }
  return Fail(FailureCode::kInvalid,
              fmt::format("revision {} is no longer known; take a new copy "
                          "with `table get`",
                          revision));
}

Result<ApplyOutcome> TableStore::TryApply(const ApplyRequest& request,
                                          bool* retry) {
  BOOST_LEAF_AUTO(base, ReadSnapshot());
  for (const auto& mark : request.known_marks) base.marks.Join(mark);
  if (base.head.Revision() < request.known_revision) {
    return Fail(FailureCode::kInvalid,
                fmt::format("the platform is at revision {}, nodes hold {}: "
                            "it was restored from an old copy",
                            base.head.Revision(), request.known_revision));
  }
  const uint64_t copied_from =
      request.copied_from.value_or(base.head.Revision());
  BOOST_LEAF_AUTO(copied, RowsAt(base, copied_from));
  const MergedTable merged =
      MergeTables(copied, request.rows, RowsOf(base.batch));
  if (!merged.conflicts.empty()) {
    return ApplyOutcome(Refused{merged.conflicts});
  }
  auto problems =
      CheckTable(merged.rows, base.batch, request.now_ms, request.removable);
  if (!problems.empty()) return ApplyOutcome(Refused{std::move(problems)});
  if (DiffTables(RowsOf(base.batch), merged.rows).empty()) {
    return ApplyOutcome(NothingToDo{base.head.Revision()});
  }
  const Batch batch = BuildBatch(base.batch, merged.rows, base.marks,
                                 {.write_id = request.write_id,
                                  .author = request.author,
                                  .base_key = base.key,
                                  .now_ms = request.now_ms});
  return Write(request, base, batch, retry);
}

Result<ApplyOutcome> TableStore::Write(const ApplyRequest& request,
                                       const Base& base, Batch batch,
                                       bool* retry) {
  const std::string key = BatchKey(batch);
  auto created = Attempt(
      [&] { return m_platform->CompareAndSwap(key, 0, ToJson(batch)); });
  if (auto* failure = std::get_if<Failure>(&created)) {
    if (failure->code != FailureCode::kConflict) {
      return Fail(FailureCode::kUnavailable, failure->message);
    }
    // The conflict can only be with an earlier try of this same write. What
    // that one wrote stands, also where marks have moved on since.
    BOOST_LEAF_AUTO(written, ReadBatch(key));
    batch = std::move(written);
  }
  Head next = base.head;
  next.entries.insert(next.entries.begin(),
                      HeadEntry{.revision = batch.revision(),
                                .key = key,
                                .write_id = request.write_id,
                                .author = request.author,
                                .written_ms = request.now_ms});
  std::string dropped;
  if (next.entries.size() > Head::kLength) {
    dropped = next.entries.back().key;
    next.entries.pop_back();
  }
  auto swapped = Attempt([&] {
    return m_platform->CompareAndSwap(kHeadKey, base.head.version,
                                      FormatHead(next));
  });
  if (auto* failure = std::get_if<Failure>(&swapped)) {
    if (failure->code == FailureCode::kUnavailable) {
      return Fail(FailureCode::kUnavailable, failure->message);
    }
    return ResolveUnknownSwap(request, next, batch, retry);
  }
  if (!dropped.empty()) {
    Attempt([&] { return m_platform->Delete(dropped); });
  }
  return ApplyOutcome(Accepted{batch});
}

// After a conflict or a lost answer: did the swap take effect?
ApplyOutcome TableStore::ResolveUnknownSwap(const ApplyRequest& request,
                                            const Head& next,
                                            const Batch& batch, bool* retry) {
  std::string reason;
  for (int i = 0; i < kMaxTries; ++i) {
    auto read = Attempt([&] { return ReadHead(); });
    if (auto* failure = std::get_if<Failure>(&read)) {
      reason = failure->message;
      std::this_thread::sleep_for(m_retry_pause);
      continue;
    }
    const Head& head = std::get<Head>(read);
    if (head.FindWrite(request.write_id) != nullptr) return Accepted{batch};
    if (head.version != next.version) {
      *retry = true;  // Another write came first; this swap can never fit.
      return NotAccepted{};
    }
    auto swapped = Attempt([&] {
      return m_platform->CompareAndSwap(kHeadKey, next.version,
                                        FormatHead(next));
    });
    if (std::holds_alternative<uint64_t>(swapped)) return Accepted{batch};
    reason = std::get<Failure>(swapped).message;
  }
  return OutcomeUnknown{.write_id = request.write_id, .reason = reason};
}

}  // namespace kumquatmoor
