# Protocol between the system's own processes: a sequence of Frames on a TCP connection. Wall-clock times are
# never sent, only ages and remaining times in milliseconds.
@0xc7d0a4f19e3b5821;
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("docklift::wire");

enum Role { proxy @0; registry @1; store @2; }
enum Phase { ready @0; draining @1; gone @2; }

# A member of the fleet, as it reports itself. Mergeable: of two records of one incarnation, the higher stamp
# wins; of two incarnations, the newer one (the higher `life`: the wall-clock start time in nanoseconds, made
# unique, and only compared for the same id).
struct Node {
  id @0 :Text;        # host name
  life @1 :UInt64;
  stamp @2 :UInt64;   # increases with each renewal
  role @3 :Role;
  zone @4 :Text;
  address @5 :Text;   # proxies: ip:port of `http`; registries: IP of the internal ports
  ready @6 :Bool;     # may be handed out to clients
  leaving @7 :Bool;
  ageMs @8 :UInt32;   # since its last renewal was received by the process it was sent to
  term @9 :UInt64;    # the highest known term of the lease on the unit counts
  readsCompressed @10 :Bool;  # accepts compressed frames on this link (net/encoded_frame)
  requestsRecords @11 :Bool;  # requests the records of servers (RecordsRequest); others are sent all at once
}

# A server's record. Mergeable by id: the higher `calls` (sequence number of heartbeats) wins; `gone` wins
# over all.
struct Server {
  id @0 :Text;
  service @1 :Text;
  address @2 :Text;
  zone @3 :Text;
  cap @4 :UInt32;
  phase @5 :Phase;
  calls @6 :UInt64;
  coldMs @7 :UInt32;  # remaining time for which it is cold
  ageMs @8 :UInt32;   # since the heartbeat was received
  left @9 :Bool;      # phase gone: it has left and never returns under this id; otherwise it is only silent
}

enum Change { replace @0; patch @1; evacuate @2; readmit @3; membership @4; nothing @5; }
# One committed change, at its position in the change log.
struct Entry {
  position @0 :UInt64;   # 1, 2, 3, ...
  change @1 :Change;
  text @2 :Data;         # replace, patch: request body; evacuate, readmit: EvacuationCommand; else voters
}
# A voting store: its address and the identity of its disk.
struct Voter { address @0 :Text; disk @1 :UInt64; }
# The last command that changed whether a zone is evacuated.
struct ZoneChange { zone @0 :Text; position @1 :UInt64; }
struct Snapshot {
  position @0 :UInt64;   # of the last change in it
  document @1 :Data;     # the whole configuration as JSON; empty: none yet
  evacuated @2 :List(Text);
  voters @3 :List(Voter);
  history @4 :Data;      # accepted versions with the digests of their bodies, oldest first: 24 bytes each
  membership @5 :UInt64; # number of changes of the voters
  zoneChanges @6 :List(ZoneChange);
  logDigest @7 :UInt64;  # over all changes up to `position` (configuration/log_digests); 0: unknown
}

# A batch of changes in order. A follower that has applied them and is still before `newest` requests more.
struct ChangeBatch {
  entries @0 :List(Entry);
  newest @1 :UInt64;       # position of the last change that the sender has
  digestBefore @2 :UInt64; # of the sender's log at the position before the first entry; 0: unknown
}
# A snapshot is sent as its encoded bytes, in parts that the receiver requests (src/system/transfer).
struct SnapshotId {
  position @0 :UInt64;     # of the last change in it
  digestLow @1 :UInt64;    # XXH3, 128 bits, of the encoded bytes
  digestHigh @2 :UInt64;
}
struct SnapshotPart {
  id @0 :SnapshotId;
  total @1 :UInt64;        # size of the whole snapshot in bytes
  offset @2 :UInt64;
  bytes @3 :Data;
  replaces @4 :Bool;       # the requested snapshot is not held by the sender; this is another one
}
struct SnapshotPartRequest {
  id @0 :SnapshotId;
  offset @1 :UInt64;
  length @2 :UInt32;       # at most; the sender may send less
}

struct Proposal {
  call @0 :UInt64;       # request id, chosen by the proposer
  change @1 :Change;
  text @2 :Data;
}
struct Verdict {         # HTTP status: 200, 400, 412; 503: no majority in time, may be retried
  call @0 :UInt64;
  status @1 :UInt16;
  why @2 :Text;
  position @3 :UInt64;   # of the last change known to the proposer's store to be in force
}

# Quotas. A proxy requests units of a tenant's quota window from the holder of the unit counts.
struct UnitOrder {
  tenant @0 :Text;
  ahead @1 :UInt8;       # window: 0 the current one, 1 the next, ...
  units @2 :Int32;       # negative: returned
  window @3 :Int64;      # only if units < 0: the window they were granted from
  demand @4 :Float32;    # this proxy's usual requests of the tenant per window
}
# `term`: of the holder that granted the returned units; any other holder ignores them.
struct UnitRequest { call @0 :UInt64; orders @1 :List(UnitOrder); term @2 :UInt64; }
# A window of length 0: by the holder's configuration the tenant has no limit, or doesn't exist.
struct UnitGrant {
  tenant @0 :Text;
  window @1 :Int64;
  units @2 :UInt32;
  startsMs @3 :Int32;    # time until its window starts; negative: since it started
  endsMs @4 :UInt32;     # time until it ends
  left @5 :UInt32;       # remaining in the window after this grant
  moreMs @6 :UInt32;     # no more units are available for this long; 0: more may be requested
  returned @7 :Bool;     # answers returned units and grants nothing
}
# `refused`: this registry does not hold the unit counts.
struct UnitGrants { call @0 :UInt64; term @1 :UInt64; refused @2 :Bool; grants @3 :List(UnitGrant); }

# The fleet as known to a registry, sent to a proxy: changed records, or all.
struct Fleet {
  servers @0 :List(Server);
  proxies @1 :List(Text);     # all live proxies as ZONE/ID, sent once on each link; empty: unchanged
  registries @2 :List(Text);  # IPs of the live registries
  holder @3 :Text;            # IP of the registry that holds the unit counts; empty: unknown
  term @4 :UInt64;            # of its lease; increases with each holder
  position @5 :UInt64;        # of the newest change that the registry has
  proxiesJoined @6 :List(Text);  # since the last update of the proxies on this link
  proxiesLeft @7 :List(Text);
  complete @8 :Bool;          # this answers a RecordsRequest
}

# A proxy requests all servers whose records differ from its own.
struct RecordsRequest {
  digests @0 :List(UInt64);   # of ranges of ids (src/system/fleet/record_requests); empty: it has no records
}

# Between registries: records to merge. Digests of ranges of ids request the records that differ. A receipt
# confirms that the receiver has all servers of the message.
struct Gossip {
  servers @0 :List(Server);
  nodes @1 :List(Node);
  digests @2 :List(UInt64);   # over ranges of the servers' ids; empty: nothing is requested
  receipt @3 :UInt64;         # number of the receipt that is requested; 0: none
}
# The lease on the unit counts. A holder needs grants from a majority of the voters, each of which grants it
# to one candidate at a time. `membership`: number of the voter set that is asked; `round`: chosen by the
# holder, echoed in the reply. `holds`: a majority has granted this term and the holder renews it. Only then
# are proxies notified, as a candidate has no lease yet.
struct LeaseRequest { term @0 :UInt64; holder @1 :Text; successor @2 :Text; release @3 :Bool; holds @4 :Bool; life @5 :UInt64; membership @6 :UInt64; round @7 :UInt64; }
# `blank`: the voter has no record of earlier grants, and has promised the lease to nobody else since it
# started.
struct LeaseReply { term @0 :UInt64; granted @1 :Bool; blank @2 :Bool; holder @3 :Text; membership @4 :UInt64; round @5 :UInt64; }

# Answers the newest confirm frame received by the registry before it started a read barrier at its store:
# when the barrier completed, nothing beyond `position` had been acknowledged. It carries no age: the proxy
# knows when it sent the token.
struct Confirmed { token @0 :UInt64; position @1 :UInt64; }

struct Frame {
  union {
    hello @0 :Node;           # first frame of a connection, by the connecting side; later as a renewal
    follow @1 :UInt64;        # requests the changes after this position (0: the follower has none)
    retiredSnapshot @2 :Snapshot;      # no longer sent
    retiredEntries @3 :List(Entry);    # no longer sent
    fleet @4 :Fleet;
    unitRequest @5 :UnitRequest;
    unitGrants @6 :UnitGrants;
    proposal @7 :Proposal;
    verdict @8 :Verdict;
    gossip @9 :Gossip;
    leaseRequest @10 :LeaseRequest;
    leaseReply @11 :LeaseReply;
    agreement @12 :Data;      # store to store: an encoded message of the module `agreement`
    alive @13 :Void;
    confirmed @14 :Confirmed; # registry to proxy
    confirm @15 :UInt64;      # proxy to registry: a token whose send time the proxy remembers
    changes @16 :ChangeBatch;
    snapshotPart @17 :SnapshotPart;
    snapshotPartRequest @18 :SnapshotPartRequest;
    recordsRequest @19 :RecordsRequest;   # proxy to registry
    receipt @20 :UInt64;      # between registries: answers a gossip message with this number
  }
}
