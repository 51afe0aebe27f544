# What the system's own processes say to each other: one Frame after another on a TCP connection. No time of day
# crosses a link: ages and remaining times in milliseconds do.
@0xc7d0a4f19e3b5821;
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("docklift::wire");

enum Role { proxy @0; registry @1; store @2; }
enum Phase { ready @0; draining @1; gone @2; }

# A member of the fleet, as it tells itself. Mergeable: of one life the higher stamp, of two lives the younger one
# (the higher `life`, which is wall-clock nanoseconds at its start, made unique; only compared for one id).
struct Node {
  id @0 :Text;        # host name
  life @1 :UInt64;
  stamp @2 :UInt64;   # rises with each renewal
  role @3 :Role;
  zone @4 :Text;
  address @5 :Text;   # proxies: ip:port of `http`; registries: ip of the inner ports
  ready @6 :Bool;     # may be given to clients
  leaving @7 :Bool;
  ageMs @8 :UInt32;   # since its last renewal was heard by whom it renewed at
  term @9 :UInt64;    # the highest term of the lease on the unit counts that it knows of
  readsCompressed @10 :Bool;  # may be sent compressed frames on this link (net/encoded_frame)
  requestsRecords @11 :Bool;  # asks for the records of servers (RecordsRequest); others are told all at once
}

# A server's record. Mergeable by id: the higher `calls`; `gone` wins over all.
struct Server {
  id @0 :Text;
  service @1 :Text;
  address @2 :Text;
  zone @3 :Text;
  cap @4 :UInt32;
  phase @5 :Phase;
  calls @6 :UInt64;
  coldMs @7 :UInt32;  # how long it stays cold, from now
  ageMs @8 :UInt32;   # since the beat was heard
}

enum Change { replace @0; patch @1; evacuate @2; readmit @3; membership @4; nothing @5; }
# One agreed change, at its place in the log of changes.
struct Entry {
  position @0 :UInt64;   # 1, 2, 3, ...
  change @1 :Change;
  text @2 :Data;         # replace, patch: the body as it was sent; evacuate, readmit: an EvacuationCommand; membership: the next voters
}
# A store with a vote: an address and the identity of its disk.
struct Voter { address @0 :Text; disk @1 :UInt64; }
# The last order that changed whether a zone is evacuated.
struct ZoneChange { zone @0 :Text; position @1 :UInt64; }
struct Snapshot {
  position @0 :UInt64;   # of the last change in it
  document @1 :Data;     # the whole configuration as JSON; empty: none yet
  evacuated @2 :List(Text);
  voters @3 :List(Voter);
  history @4 :Data;      # the versions that were taken, oldest first, with the digests of their bodies: 24 bytes each
  membership @5 :UInt64; # how often the voters have changed
  zoneChanges @6 :List(ZoneChange);
  logDigest @7 :UInt64;  # of all changes up to `position` (configuration/log_digests); 0: not known
}

# Changes in order, at most a batch: a follower that has taken them and stands before `newest` asks for more.
struct ChangeBatch {
  entries @0 :List(Entry);
  newest @1 :UInt64;       # position of the last change that the sender has
  digestBefore @2 :UInt64; # of the sender's log at the place before the first entry; 0: not known
}
# A snapshot is sent as its encoded bytes, in parts that the receiver asks for (src/system/transfer).
struct SnapshotId {
  position @0 :UInt64;     # of the last change in it
  digestLow @1 :UInt64;    # XXH3, 128 bits, of the encoded bytes
  digestHigh @2 :UInt64;
}
struct SnapshotPart {
  id @0 :SnapshotId;
  total @1 :UInt64;        # bytes of the whole
  offset @2 :UInt64;
  bytes @3 :Data;
  replaces @4 :Bool;       # the answer to a request for a snapshot that the sender does not hold
}
struct SnapshotPartRequest {
  id @0 :SnapshotId;
  offset @1 :UInt64;
  length @2 :UInt32;       # at most; the sender may send less
}

struct Proposal {
  call @0 :UInt64;       # of the proposer's choice
  change @1 :Change;
  text @2 :Data;
}
struct Verdict {         # status as PROTOCOL has it: 200, 400, 412; 503: no majority in time, may be sent again
  call @0 :UInt64;
  status @1 :UInt16;
  why @2 :Text;
  position @3 :UInt64;   # of the last change that the proposer's store knows to be in force
}

# Quotas. A proxy asks the holder of the counts to add units to a tenant's count in a window.
struct UnitOrder {
  tenant @0 :Text;
  ahead @1 :UInt8;       # of which window: 0 the present one, 1 the next, ...
  units @2 :Int32;       # below 0: handed back
  window @3 :Int64;      # only where units < 0: the window they were leased of
  demand @4 :Float32;    # requests a window that this proxy usually has of the tenant
}
# `term`: of the holder that granted what is handed back; another one takes nothing back.
struct UnitRequest { call @0 :UInt64; orders @1 :List(UnitOrder); term @2 :UInt64; }
struct UnitGrant {
  tenant @0 :Text;
  window @1 :Int64;
  units @2 :UInt32;
  startsMs @3 :Int32;    # when its window begins, from now; below 0: so long ago
  endsMs @4 :UInt32;     # when it ends, from now
  left @5 :UInt32;       # of the window's count after this
  moreMs @6 :UInt32;     # no more of it can be had for so long; 0: more may be asked for
}
# refused: this registry does not hold the counts
struct UnitGrants { call @0 :UInt64; term @1 :UInt64; refused @2 :Bool; grants @3 :List(UnitGrant); }

# What a registry knows, to a proxy: changed records, or all.
struct Fleet {
  servers @0 :List(Server);
  proxies @1 :List(Text);     # the live proxies of the fleet, as ZONE/ID: all of them, once on each link; empty: as told before
  registries @2 :List(Text);  # ips of registries that are up
  holder @3 :Text;            # ip of the registry that holds the counts; empty: none is known
  term @4 :UInt64;            # of its lease; rises with each holder
  position @5 :UInt64;        # of the newest change that the registry has
  proxiesJoined @6 :List(Text);  # since the last word of `proxies` on this link
  proxiesLeft @7 :List(Text);
  complete @8 :Bool;          # the answer to a RecordsRequest
}

# A proxy asks for all servers whose records differ from those that it knows.
struct RecordsRequest {
  digests @0 :List(UInt64);   # of ranges of ids (src/system/fleet/record_requests); empty: it knows none
}

# Between registries: records merged both ways; a digest of ranges asks for what differs.
struct Gossip {
  servers @0 :List(Server);
  nodes @1 :List(Node);
  digests @2 :List(UInt64);   # over ranges of the servers' ids; empty: none asked for
}
# The lease on the unit counts: a holder needs a majority of the voters, each of which grants it to one at a time.
# `membership`: the number of the set of voters that it is asked of; `round`: of the holder's choice, told back.
# `holds`: it has been granted this term by a majority and renews. Only that is told to proxies: a claim is no lease.
struct LeaseRequest { term @0 :UInt64; holder @1 :Text; successor @2 :Text; release @3 :Bool; holds @4 :Bool; life @5 :UInt64; membership @6 :UInt64; round @7 :UInt64; }
# `blank`: the voter has no memory of whom it granted it to, and has promised it to nobody else since it started.
struct LeaseReply { term @0 :UInt64; granted @1 :Bool; blank @2 :Bool; holder @3 :Text; membership @4 :UInt64; round @5 :UInt64; }

# Answers the newest confirm frame that had come to the registry before a read barrier at its store began: at the end
# of the barrier nothing beyond `position` had been acknowledged. No age: the proxy knows when it sent the token.
struct Confirmed { token @0 :UInt64; position @1 :UInt64; }

struct Frame {
  union {
    hello @0 :Node;           # the first frame of a connection, by who connects; then as a renewal
    follow @1 :UInt64;        # send me changes after this position (0: I have nothing)
    retiredSnapshot @2 :Snapshot;      # not sent any more
    retiredEntries @3 :List(Entry);    # not sent any more
    fleet @4 :Fleet;
    unitRequest @5 :UnitRequest;
    unitGrants @6 :UnitGrants;
    proposal @7 :Proposal;
    verdict @8 :Verdict;
    gossip @9 :Gossip;
    leaseRequest @10 :LeaseRequest;
    leaseReply @11 :LeaseReply;
    agreement @12 :Data;      # store to store: bytes of the room `agreement`
    alive @13 :Void;
    confirmed @14 :Confirmed; # registry to proxy
    confirm @15 :UInt64;      # proxy to registry: a token, of which it remembers when it sent it
    changes @16 :ChangeBatch;
    snapshotPart @17 :SnapshotPart;
    snapshotPartRequest @18 :SnapshotPartRequest;
    recordsRequest @19 :RecordsRequest;   # proxy to registry
  }
}
