#include "kumquatmoor/protocol/json_reader.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <fstream>
#include <iterator>

namespace kumquatmoor {
namespace {

// Settings files are small; a larger file is a mistake.
constexpr size_t kMaxFileBytes = 4U << 20U;

const boost::json::object& EmptyObject() {
  static const boost::json::object kEmpty;
  return kEmpty;
}

bool IsPort(std::string_view text) {
  int port = 0;
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), port);
  if (error != std::errc() || end != text.data() + text.size()) return false;
  return port >= 1 && port <= 65535;
}

}  // namespace

bool IsAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  std::string_view host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code error;
  boost::asio::ip::make_address(std::string(host), error);
  return !error && IsPort(text.substr(colon + 1));
}

JsonReader::JsonReader(const boost::json::value& value, std::string path,
                       std::vector<std::string>* problems)
    : m_object(value.if_object()),
      m_path(std::move(path)),
      m_problems(problems) {
  if (m_object != nullptr) return;
  m_object = &EmptyObject();
  m_problems->push_back((m_path.empty() ? "settings" : m_path) +
                        ": expected an object");
}

std::string JsonReader::KeyPath(std::string_view key) const {
  if (m_path.empty()) return std::string(key);
  return m_path + "." + std::string(key);
}

void JsonReader::AddProblem(std::string_view key, std::string_view message) {
  m_problems->push_back(KeyPath(key) + ": " + std::string(message));
}

const boost::json::value* JsonReader::Find(std::string_view key) {
  const auto* value = m_object->if_contains(key);
  if (value != nullptr) m_read.push_back(value);
  return value;
}

std::string JsonReader::RequiredString(std::string_view key) {
  const auto* value = Find(key);
  if (value == nullptr) {
    AddProblem(key, "is missing");
    return {};
  }
  std::string text = String(key, "");
  if (value->is_string() && text.empty()) AddProblem(key, "is empty");
  return text;
}

std::string JsonReader::RequiredName(std::string_view key) {
  std::string text = RequiredString(key);
  if (text.size() > kMaxNameBytes) AddProblem(key, "is too long");
  return text;
}

std::string JsonReader::String(std::string_view key,
                               std::string_view fallback) {
  const auto* value = Find(key);
  if (value == nullptr) return std::string(fallback);
  if (const auto* text = value->if_string()) return std::string(*text);
  AddProblem(key, "expected a string");
  return std::string(fallback);
}

std::string JsonReader::RequiredAddress(std::string_view key) {
  std::string text = RequiredString(key);
  if (!text.empty() && !IsAddress(text)) {
    AddProblem(key, "expected IP:PORT, got \"" + text + "\"");
  }
  return text;
}

int64_t JsonReader::Integer(std::string_view key, IntegerField field) {
  const auto* value = Find(key);
  if (value == nullptr) return field.fallback;
  if (!value->is_int64()) {
    AddProblem(key, "expected a whole number");
    return field.fallback;
  }
  const int64_t number = value->as_int64();
  if (number < field.minimum || number > field.maximum) {
    AddProblem(key, "expected " + std::to_string(field.minimum) + " to " +
                        std::to_string(field.maximum) + ", got " +
                        std::to_string(number));
    return field.fallback;
  }
  return number;
}

double JsonReader::Number(std::string_view key, NumberField field) {
  const auto* value = Find(key);
  if (value == nullptr) return field.fallback;
  if (!value->is_number()) {
    AddProblem(key, "expected a number");
    return field.fallback;
  }
  const double number = value->to_number<double>();
  if (number < field.minimum || number > field.maximum) {
    AddProblem(key, "is out of range: " + std::to_string(number));
    return field.fallback;
  }
  return number;
}

bool JsonReader::Bool(std::string_view key, bool fallback) {
  const auto* value = Find(key);
  if (value == nullptr) return fallback;
  if (const auto* flag = value->if_bool()) return *flag;
  AddProblem(key, "expected true or false");
  return fallback;
}

std::vector<std::string> JsonReader::Addresses(std::string_view key) {
  std::vector<std::string> addresses;
  const auto* value = Find(key);
  if (value == nullptr) return addresses;
  const auto* list = value->if_array();
  if (list == nullptr) {
    AddProblem(key, "expected a list of IP:PORT");
    return addresses;
  }
  for (size_t i = 0; i < list->size(); ++i) {
    const auto* text = (*list)[i].if_string();
    if (text == nullptr || !IsAddress(*text)) {
      AddProblem(std::string(key) + "[" + std::to_string(i) + "]",
                 "expected IP:PORT");
      continue;
    }
    addresses.emplace_back(*text);
  }
  return addresses;
}

JsonReader JsonReader::Object(std::string_view key) {
  static const boost::json::value kEmpty = boost::json::object();
  const auto* value = Find(key);
  return {value == nullptr ? kEmpty : *value, KeyPath(key), m_problems};
}

void JsonReader::RejectUnknownKeys() {
  for (const auto& entry : *m_object) {
    const bool is_read =
        std::find(m_read.begin(), m_read.end(), &entry.value()) != m_read.end();
    if (!is_read) AddProblem(entry.key(), "unknown key");
  }
}

Result<boost::json::value> ReadJsonFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return Fail(FailureCode::kNotFound, path + ": cannot be opened");
  std::string text;
  text.resize(kMaxFileBytes + 1);
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<size_t>(file.gcount()));
  if (text.size() > kMaxFileBytes) {
    return Fail(FailureCode::kInvalid, path + ": larger than 4 MiB");
  }
  boost::json::error_code error;
  auto value = boost::json::parse(text, error);
  if (error) {
    return Fail(FailureCode::kInvalid,
                path + ": not valid JSON: " + error.message());
  }
  return value;
}

}  // namespace kumquatmoor
