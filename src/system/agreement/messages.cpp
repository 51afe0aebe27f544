#include "system/agreement/messages.hpp"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <cstring>

#include "system/agreement/agreement.capnp.h"
#include "system/fleet/frames.hpp"

namespace docklift::agreement {
namespace {

kj::ArrayPtr<const kj::byte> data_of(const std::string& s) {
  return {reinterpret_cast<const kj::byte*>(s.data()), s.size()};
}
std::string text_of(capnp::Data::Reader d) { return {reinterpret_cast<const char*>(d.begin()), d.size()}; }

void put(wire::Ballot::Builder to, const Ballot& ballot) {
  to.setRound(ballot.round);
  to.setAddress(ballot.address);
  to.setDisk(ballot.disk);
}
Ballot get(wire::Ballot::Reader r) { return {r.getRound(), r.getAddress().cStr(), r.getDisk()}; }
void put(wire::Change::Builder to, const Change& change) {
  to.setKind(static_cast<std::uint8_t>(change.kind));
  to.setText(data_of(change.text));
  to.setAuthor(change.author);
  to.setNumber(change.number);
}
Change get(wire::Change::Reader r) {
  const auto kind = r.getKind() <= static_cast<std::uint8_t>(ChangeKind::noop)
                        ? static_cast<ChangeKind>(r.getKind())
                        : ChangeKind::noop;
  return {kind, text_of(r.getText()), r.getAuthor().cStr(), r.getNumber()};
}
void put(wire::AcceptedChange::Builder to, std::uint64_t slot, const AcceptedChange& accepted) {
  to.setSlot(slot);
  put(to.initBallot(), accepted.ballot);
  put(to.initChange(), accepted.change);
}
AcceptedChange get(wire::AcceptedChange::Reader r) { return {get(r.getBallot()), get(r.getChange())}; }
void put(wire::Entry::Builder to, const LogEntry& entry) {
  to.setSlot(entry.slot);
  put(to.initChange(), entry.change);
}
LogEntry get(wire::Entry::Reader r) { return {r.getSlot(), get(r.getChange())}; }
std::string serialize(capnp::MessageBuilder& m) {
  const auto words = capnp::messageToFlatArray(m);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

// Reads the bytes as a message of type T; none if they are not one. The bytes are copied, as they may be
// unaligned.
template <class T, class Read>
auto deserialize(std::string_view bytes, Read read)
    -> std::optional<decltype(read(std::declval<typename T::Reader>()))> {
  if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0) return std::nullopt;
  std::vector<capnp::word> words(bytes.size() / sizeof(capnp::word));
  std::memcpy(words.data(), bytes.data(), bytes.size());
  try {
    capnp::ReaderOptions options;
    options.traversalLimitInWords = 64u << 20;
    capnp::FlatArrayMessageReader reader(kj::arrayPtr(words.data(), words.size()), options);
    return read(reader.getRoot<T>());
  } catch (const kj::Exception&) {
    return std::nullopt;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

// Encodes each type of message into its fields of the frame.
class Encoder {
 public:
  explicit Encoder(wire::Message::Builder frame) : frame_(frame) {}

  void operator()(const Prepare& m) {
    put_header(m.slot, m.ballot);
    frame_.setPrepare();
  }
  void operator()(const Promise& m) {
    put_header(m.slot, m.ballot);
    put(frame_.initPromised(), m.promised);
    auto list = frame_.initPromise(m.accepted ? 1 : 0);
    if (m.accepted) put(list[0], m.slot, *m.accepted);
  }
  void operator()(const Accept& m) {
    put_header(m.slot, m.ballot);
    put(frame_.initAccept(), m.change);
  }
  void operator()(const Accepted& m) {
    put_header(m.slot, m.ballot);
    put(frame_.initPromised(), m.promised);
    frame_.setAccepted();
  }
  void operator()(const LogEntry& m) {
    frame_.setSlot(m.slot);
    put(frame_.initLearn(), m.change);
  }
  void operator()(const StatusRequest& m) { frame_.setStatusRequest(m.round); }
  void operator()(const Status& m) {
    auto to = frame_.initStatus();
    to.setRound(m.round);
    to.setPosition(m.position);
    to.setHasState(m.has_state);
    to.setEligible(m.eligible);
    to.setLeaving(m.leaving);
    to.setMembership(m.membership);
    auto list = to.initAccepted(static_cast<unsigned>(m.accepted.size()));
    for (unsigned i = 0; i < list.size(); ++i) put(list[i], m.accepted[i].first, m.accepted[i].second);
  }
  void operator()(const Fetch& m) { frame_.setFetch(m.after); }
  void operator()(const Log& m) {
    auto to = frame_.initLog();
    to.setNewest(m.newest);
    to.setDigestBefore(m.digest_before);
    auto list = to.initEntries(static_cast<unsigned>(m.entries.size()));
    for (unsigned i = 0; i < list.size(); ++i) put(list[i], m.entries[i]);
  }

 private:
  void put_header(std::uint64_t slot, const Ballot& ballot) {
    frame_.setSlot(slot);
    put(frame_.initBallot(), ballot);
  }
  wire::Message::Builder frame_;
};

Promise promise_of(wire::Message::Reader m) {
  Promise promise{m.getSlot(), get(m.getBallot()), get(m.getPromised()), std::nullopt};
  if (m.getPromise().size() > 0) promise.accepted = get(m.getPromise()[0]);
  return promise;
}

Status status_of(wire::Status::Reader r) {
  Status status;
  status.round = r.getRound();
  status.position = r.getPosition();
  status.has_state = r.getHasState();
  status.eligible = r.getEligible();
  status.leaving = r.getLeaving();
  status.membership = r.getMembership();
  for (const auto accepted : r.getAccepted()) status.accepted.emplace_back(accepted.getSlot(), get(accepted));
  return status;
}

Log log_of(wire::Log::Reader r) {
  Log log;
  log.newest = r.getNewest();
  log.digest_before = r.getDigestBefore();
  for (const auto entry : r.getEntries()) log.entries.push_back(get(entry));
  return log;
}

Message message_of(wire::Message::Reader m) {
  switch (m.which()) {
    case wire::Message::PREPARE: return Prepare{m.getSlot(), get(m.getBallot())};
    case wire::Message::PROMISE: return promise_of(m);
    case wire::Message::ACCEPT: return Accept{m.getSlot(), get(m.getBallot()), get(m.getAccept())};
    case wire::Message::ACCEPTED: return Accepted{m.getSlot(), get(m.getBallot()), get(m.getPromised())};
    case wire::Message::LEARN: return LogEntry{m.getSlot(), get(m.getLearn())};
    case wire::Message::STATUS_REQUEST: return StatusRequest{m.getStatusRequest()};
    case wire::Message::STATUS: return status_of(m.getStatus());
    case wire::Message::FETCH: return Fetch{m.getFetch()};
    case wire::Message::LOG: break;
  }
  return log_of(m.getLog());
}

}  // namespace

std::string encode(const Envelope& envelope) {
  capnp::MallocMessageBuilder builder;
  auto frame = builder.initRoot<wire::Message>();
  frame.setDisk(envelope.sender.disk);
  frame.setMembership(envelope.sender.membership);
  frame.setPosition(envelope.sender.position);
  frame.setLogDigest(envelope.sender.log_digest);
  std::visit(Encoder(frame), envelope.message);
  return serialize(builder);
}

std::optional<Envelope> decode(std::string_view bytes) {
  return deserialize<wire::Message>(bytes, [](wire::Message::Reader m) -> Envelope {
    return {{m.getDisk(), m.getMembership(), m.getPosition(), m.getLogDigest()}, message_of(m)};
  });
}

std::string encode_state(const State& state) {
  capnp::MallocMessageBuilder builder;
  fleet::put(builder.initRoot<docklift::wire::Snapshot>(), state);
  return serialize(builder);
}
std::optional<State> decode_state(std::string_view bytes) {
  return deserialize<docklift::wire::Snapshot>(
      bytes, [](docklift::wire::Snapshot::Reader r) { return fleet::get(r); });
}
std::string encode_accepted(const AcceptedChange& accepted) {
  capnp::MallocMessageBuilder builder;
  put(builder.initRoot<wire::AcceptedChange>(), 0, accepted);
  return serialize(builder);
}
std::optional<AcceptedChange> decode_accepted(std::string_view bytes) {
  return deserialize<wire::AcceptedChange>(bytes, [](wire::AcceptedChange::Reader r) { return get(r); });
}
std::string encode_ballot(const Ballot& ballot) {
  capnp::MallocMessageBuilder builder;
  put(builder.initRoot<wire::Ballot>(), ballot);
  return serialize(builder);
}
std::optional<Ballot> decode_ballot(std::string_view bytes) {
  return deserialize<wire::Ballot>(bytes, [](wire::Ballot::Reader r) { return get(r); });
}
std::string encode_entry(const LogEntry& entry) {
  capnp::MallocMessageBuilder builder;
  put(builder.initRoot<wire::Entry>(), entry);
  return serialize(builder);
}
std::optional<LogEntry> decode_entry(std::string_view bytes) {
  return deserialize<wire::Entry>(bytes, [](wire::Entry::Reader r) { return get(r); });
}

}  // namespace docklift::agreement
