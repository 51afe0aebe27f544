// Frames built from and read into the system's own values.
#pragma once

#include <capnp/message.h>

#include <optional>
#include <string>
#include <vector>

#include "system/configuration/configuration.hpp"
#include "system/fleet/records.hpp"

namespace docklift::fleet {

// A message with a Frame as its root.
class Outgoing {
 public:
  Outgoing() : frame_(message_.initRoot<wire::Frame>()) {}
  wire::Frame::Builder& frame() { return frame_; }
  capnp::MessageBuilder& message() { return message_; }

 private:
  capnp::MallocMessageBuilder message_;
  wire::Frame::Builder frame_;
};

// A member's first word on a link, and its renewals.
void put_hello(Outgoing& out, const Node& self, Time now);

inline capnp::Data::Reader data_of(std::string_view s) {
  return {reinterpret_cast<const kj::byte*>(s.data()), s.size()};
}
inline std::string text_of(capnp::Data::Reader d) {
  return {reinterpret_cast<const char*>(d.begin()), d.size()};
}

struct Entry {
  std::uint64_t position = 0;
  wire::Change change = wire::Change::NOTHING;
  std::string text;
};

void put(wire::Snapshot::Builder to, const configuration::State& s);
// Throws nlohmann::json::exception for a document that is none, kj::Exception for a history that is none.
configuration::State get(wire::Snapshot::Reader r);
void put(wire::Entry::Builder to, const Entry& e);
Entry get(wire::Entry::Reader r);
configuration::ChangeKind kind_of(wire::Change c);
wire::Change change_of(configuration::ChangeKind kind);
// Applies an entry to a state whose position is just before it. False: it changed nothing that is in force.
bool apply(configuration::State& state, const Entry& e);

}  // namespace docklift::fleet
