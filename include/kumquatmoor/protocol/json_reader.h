#ifndef KUMQUATMOOR_PROTOCOL_JSON_READER_H_
#define KUMQUATMOOR_PROTOCOL_JSON_READER_H_

// JsonReader reads a JSON object field by field. It collects every problem
// instead of stopping at the first one, so that a user can correct a file in
// one go.
//
//   std::vector<std::string> problems;
//   JsonReader reader(value, "", &problems);
//   settings.id = reader.RequiredString("id");
//   settings.port = reader.Integer(
//       "port", {.fallback = 7000, .maximum = 65535});
//   reader.RejectUnknownKeys();
//
// A problem is a text of the form "path: message", where the path locates the
// key, such as "limits.max_in_flight". The values that were read are meaningful
// only if there are no problems.
//
// The reader keeps pointers to the value and to `problems`; both must outlive
// it. Not thread-safe.

#include <boost/container/small_vector.hpp>
#include <boost/json.hpp>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "kumquatmoor/protocol/failure.h"

namespace kumquatmoor {

// Limit for the names that a backend server gives itself. The member record of
// its node has to fit into a datagram.
inline constexpr size_t kMaxNameBytes = 128;

// Default and inclusive bounds of an integer field.
struct IntegerField {
  int64_t fallback = 0;
  int64_t minimum = 0;
  int64_t maximum = std::numeric_limits<int64_t>::max();
};

// Default and inclusive bounds of a floating-point field.
struct NumberField {
  double fallback = 0;
  double minimum = std::numeric_limits<double>::lowest();
  double maximum = std::numeric_limits<double>::max();
};

class JsonReader {
 public:
  // Reads `value`, which is located at `path`; the root has an empty path. Adds
  // a problem and reads as an empty object if `value` is not an object.
  JsonReader(const boost::json::value& value, std::string path,
             std::vector<std::string>* problems);

  // A string that must be present and not empty.
  std::string RequiredString(std::string_view key);
  // A required string of at most kMaxNameBytes bytes.
  std::string RequiredName(std::string_view key);
  std::string String(std::string_view key, std::string_view fallback);
  // A required address, as accepted by IsAddress.
  std::string RequiredAddress(std::string_view key);
  int64_t Integer(std::string_view key, IntegerField field);
  double Number(std::string_view key, NumberField field);
  bool Bool(std::string_view key, bool fallback);
  // A list of addresses, as accepted by IsAddress; empty if it is missing.
  std::vector<std::string> Addresses(std::string_view key);
  // A reader of the nested object at `key`, empty if it is missing. It adds its
  // problems to the same list.
  JsonReader Object(std::string_view key);

  // Adds a problem for each key of the object that has not been read. Call it
  // after all fields have been read.
  void RejectUnknownKeys();
  void AddProblem(std::string_view key, std::string_view message);

 private:
  const boost::json::value* Find(std::string_view key);
  std::string KeyPath(std::string_view key) const;

  const boost::json::object* m_object;
  std::string m_path;
  std::vector<std::string>* m_problems;
  // Values that were read, of the keys that the object has.
  boost::container::small_vector<const boost::json::value*, 16> m_read;
};

// Returns true for "IP:PORT" with a numeric IP address and a port that is not
// zero, such as "127.0.0.1:7000" or "[::1]:7000". Host names are rejected.
bool IsAddress(std::string_view text);

// Reads and parses a JSON file. Fails with kNotFound if the file cannot be
// opened, and with kInvalid and a one-line message if it is not valid JSON or
// larger than 4 MiB.
Result<boost::json::value> ReadJsonFile(const std::string& path);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_PROTOCOL_JSON_READER_H_
