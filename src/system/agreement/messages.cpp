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

void put(wire::Ballot::Builder to, const Ballot& b) { to.setRound(b.round), to.setBy(b.by); }
Ballot get(wire::Ballot::Reader r) { return {r.getRound(), r.getBy().cStr()}; }
void put(wire::Change::Builder to, const Change& c) {
  to.setKind(static_cast<std::uint8_t>(c.kind)), to.setText(data_of(c.text));
  to.setAuthor(c.author), to.setNumber(c.number);
}
Change get(wire::Change::Reader r) {
  const auto kind = r.getKind() <= static_cast<std::uint8_t>(ChangeKind::nothing)
                        ? static_cast<ChangeKind>(r.getKind())
                        : ChangeKind::nothing;
  return {kind, text_of(r.getText()), r.getAuthor().cStr(), r.getNumber()};
}
void put(wire::Accepted::Builder to, std::uint64_t slot, const Accepted& a) {
  to.setSlot(slot), put(to.initBallot(), a.ballot), put(to.initChange(), a.change);
}
Accepted get(wire::Accepted::Reader r) { return {get(r.getBallot()), get(r.getChange())}; }
std::string packed(capnp::MessageBuilder& m) {
  const auto words = capnp::messageToFlatArray(m);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

// Reads bytes as a message of type T, or none. The bytes are copied, as they may lie unaligned.
template <class T, class Read>
auto unpacked(std::string_view bytes, Read read)
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

template <class... F>
struct Each : F... {
  using F::operator()...;
};

}  // namespace

std::string encode(const Message& message) {
  capnp::MallocMessageBuilder builder;
  auto m = builder.initRoot<wire::Message>();
  const auto head = [&](std::uint64_t slot, const Ballot& ballot) {
    m.setSlot(slot), put(m.initBallot(), ballot);
  };
  std::visit(
      Each{[&](const Ask& a) { head(a.slot, a.ballot), m.setAsk(); },
           [&](const Promise& p) {
             head(p.slot, p.ballot), put(m.initPromised(), p.promised);
             auto list = m.initPromise(p.accepted ? 1 : 0);
             if (p.accepted) put(list[0], p.slot, *p.accepted);
           },
           [&](const Offer& o) { head(o.slot, o.ballot), put(m.initOffer(), o.change); },
           [&](const Vote& v) { head(v.slot, v.ballot), put(m.initPromised(), v.promised), m.setVote(); },
           [&](const Chosen& c) { m.setSlot(c.slot), put(m.initChosen(), c.change); },
           [&](const StatusAsk& a) { m.setStatusAsk(a.round); },
           [&](const Status& s) {
             put(m.initPromised(), s.promised);
             auto to = m.initStatus();
             to.setRound(s.round), to.setChosen(s.chosen), to.setBlank(s.blank);
             auto list = to.initAccepted(static_cast<unsigned>(s.accepted.size()));
             for (unsigned i = 0; i < list.size(); ++i)
               put(list[i], s.accepted[i].first, s.accepted[i].second);
           },
           [&](const Fetch& f) { m.setFetch(f.after); },
           [&](const Log& l) {
             auto to = m.initLog();
             to.setWhole(l.snapshot.has_value());
             if (l.snapshot) fleet::put(to.initSnapshot(), *l.snapshot);
             auto list = to.initEntries(static_cast<unsigned>(l.entries.size()));
             for (unsigned i = 0; i < list.size(); ++i)
               list[i].setSlot(l.entries[i].slot), put(list[i].initChange(), l.entries[i].change);
           }},
      message);
  return packed(builder);
}

std::optional<Message> decode(std::string_view bytes) {
  return unpacked<wire::Message>(bytes, [](wire::Message::Reader m) -> Message {
    const auto ballot = [&] { return get(m.getBallot()); };
    switch (m.which()) {
      case wire::Message::ASK: return Ask{m.getSlot(), ballot()};
      case wire::Message::PROMISE: {
        Promise p{m.getSlot(), ballot(), get(m.getPromised()), std::nullopt};
        if (m.getPromise().size() > 0) p.accepted = get(m.getPromise()[0]);
        return p;
      }
      case wire::Message::OFFER: return Offer{m.getSlot(), ballot(), get(m.getOffer())};
      case wire::Message::VOTE: return Vote{m.getSlot(), ballot(), get(m.getPromised())};
      case wire::Message::CHOSEN: return Chosen{m.getSlot(), get(m.getChosen())};
      case wire::Message::STATUS_ASK: return StatusAsk{m.getStatusAsk()};
      case wire::Message::STATUS: {
        const auto from = m.getStatus();
        Status s{from.getRound(), from.getChosen(), from.getBlank(), get(m.getPromised()), {}};
        for (const auto a : from.getAccepted()) s.accepted.emplace_back(a.getSlot(), get(a));
        return s;
      }
      case wire::Message::FETCH: return Fetch{m.getFetch()};
      case wire::Message::LOG: break;
    }
    Log l;
    if (m.getLog().getWhole()) l.snapshot = fleet::get(m.getLog().getSnapshot());
    for (const auto e : m.getLog().getEntries()) l.entries.push_back({e.getSlot(), get(e.getChange())});
    return l;
  });
}

std::string encode_state(const State& s) {
  capnp::MallocMessageBuilder b;
  fleet::put(b.initRoot<docklift::wire::Snapshot>(), s);
  return packed(b);
}
std::optional<State> decode_state(std::string_view bytes) {
  return unpacked<docklift::wire::Snapshot>(bytes, [](docklift::wire::Snapshot::Reader r) { return fleet::get(r); });
}
std::string encode_accepted(const Accepted& a) {
  capnp::MallocMessageBuilder b;
  put(b.initRoot<wire::Accepted>(), 0, a);
  return packed(b);
}
std::optional<Accepted> decode_accepted(std::string_view bytes) {
  return unpacked<wire::Accepted>(bytes, [](wire::Accepted::Reader r) { return get(r); });
}
std::string encode_ballot(const Ballot& x) {
  capnp::MallocMessageBuilder b;
  put(b.initRoot<wire::Ballot>(), x);
  return packed(b);
}
std::optional<Ballot> decode_ballot(std::string_view bytes) {
  return unpacked<wire::Ballot>(bytes, [](wire::Ballot::Reader r) { return get(r); });
}

}  // namespace docklift::agreement
