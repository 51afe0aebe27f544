#include "system/fleet/frames.hpp"

#include <kj/debug.h>

#include <algorithm>

namespace docklift::fleet {

void put_hello(Outgoing& out, const Node& self, Time now) {
  auto hello = out.frame().initHello();
  put(hello, self, now);
  hello.setReadsCompressed(true);
  hello.setRequestsRecords(true);
}

void put(wire::Snapshot::Builder to, const configuration::State& s) {
  to.setPosition(s.position);
  if (!s.document.is_null()) to.setDocument(data_of(s.document.dump()));
  auto evacuated = to.initEvacuated(static_cast<unsigned>(s.evacuated.size()));
  for (unsigned i = 0; i < evacuated.size(); ++i) evacuated.set(i, s.evacuated[i]);
  auto voters = to.initVoters(static_cast<unsigned>(s.voters.size()));
  for (unsigned i = 0; i < voters.size(); ++i) {
    voters[i].setAddress(s.voters[i].address);
    voters[i].setDisk(s.voters[i].disk);
  }
  to.setMembership(s.membership);
  to.setLogDigest(s.log_digest);
  to.setHistory(data_of(s.history.encode()));
  auto zone_changes = to.initZoneChanges(static_cast<unsigned>(s.zone_changes.size()));
  unsigned index = 0;
  for (const auto& [zone, position] : s.zone_changes) {
    zone_changes[index].setZone(zone);
    zone_changes[index].setPosition(position);
    ++index;
  }
}

namespace {
// Bytes that a text may hold include zeros.
std::string string_of(capnp::Text::Reader text) { return {text.begin(), text.size()}; }
}  // namespace

configuration::State get(wire::Snapshot::Reader r) {
  configuration::State s;
  s.position = r.getPosition();
  if (r.getDocument().size() > 0) s.document = nlohmann::json::parse(text_of(r.getDocument()));
  for (const auto t : r.getEvacuated()) s.evacuated.push_back(string_of(t));
  for (const auto voter : r.getVoters()) s.voters.push_back({voter.getAddress().cStr(), voter.getDisk()});
  s.membership = r.getMembership();
  s.log_digest = r.getLogDigest();
  auto history = configuration::VersionHistory::decode(text_of(r.getHistory()));
  KJ_REQUIRE(history.has_value(), "the version history can't be read");
  s.history = std::move(*history);
  for (const auto change : r.getZoneChanges())
    s.zone_changes[string_of(change.getZone())] = change.getPosition();
  return s;
}

void put(wire::Entry::Builder to, const Entry& e) {
  to.setPosition(e.position), to.setChange(e.change), to.setText(data_of(e.text));
}

Entry get(wire::Entry::Reader r) { return {r.getPosition(), r.getChange(), text_of(r.getText())}; }

bool apply(configuration::State& state, const Entry& e) {
  state.position = e.position - 1;
  return configuration::apply(state, kind_of(e.change), e.text);
}

configuration::ChangeKind kind_of(wire::Change c) {
  switch (c) {
    case wire::Change::REPLACE: return configuration::ChangeKind::replace;
    case wire::Change::PATCH: return configuration::ChangeKind::patch;
    case wire::Change::EVACUATE: return configuration::ChangeKind::evacuate;
    case wire::Change::READMIT: return configuration::ChangeKind::readmit;
    case wire::Change::MEMBERSHIP: return configuration::ChangeKind::membership;
    case wire::Change::NOTHING: break;
  }
  return configuration::ChangeKind::noop;
}

wire::Change change_of(configuration::ChangeKind kind) {
  switch (kind) {
    case configuration::ChangeKind::replace: return wire::Change::REPLACE;
    case configuration::ChangeKind::patch: return wire::Change::PATCH;
    case configuration::ChangeKind::evacuate: return wire::Change::EVACUATE;
    case configuration::ChangeKind::readmit: return wire::Change::READMIT;
    case configuration::ChangeKind::membership: return wire::Change::MEMBERSHIP;
    case configuration::ChangeKind::noop: break;
  }
  return wire::Change::NOTHING;
}

}  // namespace docklift::fleet
