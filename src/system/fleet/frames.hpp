// Conversion between wire frames and the system's own types.
#pragma once

#include <capnp/message.h>

#include <optional>
#include <string>
#include <vector>

#include "system/configuration/configuration.hpp"
#include "system/fleet/records.hpp"

namespace docklift::fleet {

// An outgoing message with a Frame as its root.
class Outgoing {
 public:
  Outgoing() : frame_(message_.initRoot<wire::Frame>()) {}
  wire::Frame::Builder& frame() { return frame_; }
  capnp::MessageBuilder& message() { return message_; }

 private:
  capnp::MallocMessageBuilder message_;
  wire::Frame::Builder frame_;
};

// Fills a hello frame: the first frame on a link, and its renewals.
void put_hello(Outgoing& out, const Node& self, Time now);

inline capnp::Data::Reader data_of(std::string_view s) {
  return {reinterpret_cast<const kj::byte*>(s.data()), s.size()};
}
inline std::string text_of(capnp::Data::Reader d) {
  return {reinterpret_cast<const char*>(d.begin()), d.size()};
}

// A change at its position in the change log.
struct Entry {
  std::uint64_t position = 0;
  wire::Change change = wire::Change::NOTHING;
  std::string text;
};

void put(wire::Snapshot::Builder to, const configuration::State& s);
// Throws nlohmann::json::exception for an invalid document, kj::Exception for an invalid version history.
configuration::State get(wire::Snapshot::Reader r);
void put(wire::Entry::Builder to, const Entry& e);
Entry get(wire::Entry::Reader r);
configuration::ChangeKind kind_of(wire::Change c);
wire::Change change_of(configuration::ChangeKind kind);
// Applies an entry to a state at the preceding position. Returns false if it had no effect on the state.
bool apply(configuration::State& state, const Entry& e);

}  // namespace docklift::fleet
