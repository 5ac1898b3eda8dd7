// Apply() writes a batch under a key that no other write uses, and then lists
// it in `head` by a compare-and-swap. The batch is accepted if and only if the
// swap succeeds. If the response to the swap is lost, `head` is read back:
// - If `head` lists the write id, the batch is accepted.
// - If `head` has another version without it, another write came first. This
//   swap can never succeed, because it expects an older version.
// - If `head` has the old version, the swap may still arrive, and it is sent
//   again.

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
constexpr int kMaxAttempts = 8;

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
  SyncReply message;
  if (!FromJson(entry.value, &message)) {
    return Fail(FailureCode::kInvalid, "the marks on the platform are damaged");
  }
  for (const auto& mark : message.marks()) marks.Join(mark);
  return marks;
}

}  // namespace

// The state of the platform that a new batch is built on.
struct TableStore::Snapshot {
  Head head;
  Batch batch;
  std::string batch_key;
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

Result<TableStore::Snapshot> TableStore::ReadSnapshot() {
  Snapshot snapshot;
  BOOST_LEAF_AUTO(head, ReadHead());
  snapshot.head = std::move(head);
  if (!snapshot.head.entries.empty()) {
    snapshot.batch_key = snapshot.head.entries.front().key;
    BOOST_LEAF_AUTO(batch, ReadBatch(snapshot.batch_key));
    snapshot.batch = std::move(batch);
  }
  BOOST_LEAF_AUTO(marks, ReadMarks());
  snapshot.marks = std::move(marks);
  return snapshot;
}

Result<Batch> TableStore::ReadCurrent() {
  BOOST_LEAF_AUTO(snapshot, ReadSnapshot());
  return std::move(snapshot.batch);
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
  SyncReply message;
  for (auto& mark : merged.All()) *message.add_marks() = std::move(mark);
  BOOST_LEAF_CHECK(
      m_platform->CompareAndSwap(kMarksKey, entry.version, ToJson(message)));
  return true;
}

ApplyOutcome TableStore::Apply(const ApplyRequest& request) {
  std::string reason = "other writes kept coming first";
  for (int i = 0; i < kMaxAttempts; ++i) {
    bool retry = false;
    auto attempt = Attempt([&] { return TryApply(request, &retry); });
    if (auto* failure = std::get_if<Failure>(&attempt)) {
      if (failure->code == FailureCode::kInvalid ||
          failure->code == FailureCode::kNotFound) {
        return Refused{{{.message = failure->message}}};
      }
      reason = failure->message;
    } else if (!retry) {
      return std::get<ApplyOutcome>(std::move(attempt));
    }
    std::this_thread::sleep_for(m_retry_pause);
  }
  return NotAccepted{reason};
}

Result<std::vector<TableRow>> TableStore::RowsAt(const Snapshot& snapshot,
                                                 uint64_t revision) {
  if (revision == snapshot.head.Revision()) return RowsOf(snapshot.batch);
  if (revision == 0) return std::vector<TableRow>();
  for (const auto& entry : snapshot.head.entries) {
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
  BOOST_LEAF_AUTO(snapshot, ReadSnapshot());
  for (const auto& mark : request.known_marks) snapshot.marks.Join(mark);
  if (snapshot.head.Revision() < request.known_revision) {
    return Fail(FailureCode::kInvalid,
                fmt::format("the platform is at revision {}, nodes hold {}: "
                            "it was restored from an old copy",
                            snapshot.head.Revision(), request.known_revision));
  }
  const uint64_t copied_from =
      request.copied_from.value_or(snapshot.head.Revision());
  BOOST_LEAF_AUTO(copied, RowsAt(snapshot, copied_from));
  const MergedTable merged =
      MergeTables(copied, request.rows, RowsOf(snapshot.batch));
  if (!merged.conflicts.empty()) {
    return ApplyOutcome(Refused{merged.conflicts});
  }
  auto problems = CheckTable(merged.rows, snapshot.batch, request.now_ms,
                             request.removable);
  if (!problems.empty()) return ApplyOutcome(Refused{std::move(problems)});
  if (DiffTables(RowsOf(snapshot.batch), merged.rows).empty()) {
    return ApplyOutcome(NothingToDo{snapshot.head.Revision()});
  }
  const Batch batch = BuildBatch(snapshot.batch, merged.rows, snapshot.marks,
                                 {.write_id = request.write_id,
                                  .author = request.author,
                                  .base_key = snapshot.batch_key,
                                  .now_ms = request.now_ms});
  return WriteBatch(request, snapshot, batch, retry);
}

Result<ApplyOutcome> TableStore::WriteBatch(const ApplyRequest& request,
                                            const Snapshot& snapshot,
                                            Batch batch, bool* retry) {
  const std::string key = BatchKey(batch);
  auto created = Attempt(
      [&] { return m_platform->CompareAndSwap(key, 0, ToJson(batch)); });
  if (auto* failure = std::get_if<Failure>(&created)) {
    if (failure->code != FailureCode::kConflict) {
      return Fail(FailureCode::kUnavailable, failure->message);
    }
    // The key contains the write id, so it can only come from an earlier
    // attempt of the same write. The batch of that attempt is kept, even if the
    // marks have changed since.
    BOOST_LEAF_AUTO(written, ReadBatch(key));
    batch = std::move(written);
  }
  Head next = snapshot.head;
  next.entries.insert(next.entries.begin(),
                      HeadEntry{.revision = batch.revision(),
                                .key = key,
                                .write_id = request.write_id,
                                .author = request.author,
                                .written_ms = request.now_ms});
  std::string dropped;
  if (next.entries.size() > Head::kMaxEntries) {
    dropped = next.entries.back().key;
    next.entries.pop_back();
  }
  auto swapped = Attempt([&] {
    return m_platform->CompareAndSwap(kHeadKey, snapshot.head.version,
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

// Finds out, after a conflict or a lost response, whether the swap succeeded.
ApplyOutcome TableStore::ResolveUnknownSwap(const ApplyRequest& request,
                                            const Head& next,
                                            const Batch& batch, bool* retry) {
  std::string reason;
  for (int i = 0; i < kMaxAttempts; ++i) {
    auto read = Attempt([&] { return ReadHead(); });
    if (auto* failure = std::get_if<Failure>(&read)) {
      reason = failure->message;
      std::this_thread::sleep_for(m_retry_pause);
      continue;
    }
    const Head& head = std::get<Head>(read);
    if (head.FindWrite(request.write_id) != nullptr) return Accepted{batch};
    if (head.version != next.version) {
      *retry = true;  // Another write came first; this swap cannot succeed.
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
