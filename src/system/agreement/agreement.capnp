# The messages that stores exchange and the records that they keep on disk.
@0xd3f6b1c8a02e7745;
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("docklift::agreement::wire");

# Proposers never share a ballot: `disk` distinguishes two stores that ran at one address with different
# disks.
struct Ballot { round @0 :UInt64; address @1 :Text; disk @2 :UInt64; }
struct Change { kind @0 :UInt8; text @1 :Data; author @2 :Text; number @3 :UInt64; }
struct AcceptedChange { slot @0 :UInt64; ballot @1 :Ballot; change @2 :Change; }
struct Message {
  disk @0 :UInt64;         # the sender's disk identity
  membership @1 :UInt64;   # the highest membership number that the sender knows
  slot @2 :UInt64;         # of prepare, promise, accept, accepted, learn
  ballot @3 :Ballot;
  promised @4 :Ballot;
  union {
    prepare @5 :Void;
    promise @6 :List(AcceptedChange);
    accept @7 :Change;
    accepted @8 :Void;
    learn @9 :Change;
    statusRequest @10 :UInt64;
    status @11 :Status;
    fetch @12 :UInt64;
    log @13 :Log;
  }
  position @14 :UInt64;    # of the sender's log
  logDigest @15 :UInt64;   # of the sender's log at `position` (configuration/log_digests); 0: not known
}
struct Status {
  round @0 :UInt64;
  position @1 :UInt64;
  hasState @2 :Bool;       # false: its disk was empty and it has not read the others' state yet
  eligible @3 :Bool;       # may be made a voter
  leaving @4 :Bool;        # is shutting down
  accepted @5 :List(AcceptedChange);
  membership @6 :UInt64;   # of its state
}
# One batch: a receiver whose position is still below `newest` requests more. Snapshots are sent in chunks
# (src/system/transfer).
struct Log {
  entries @0 :List(Entry);
  newest @1 :UInt64;
  digestBefore @2 :UInt64; # of the sender's log at the position before the first entry; 0: not known
}
struct Entry { slot @0 :UInt64; change @1 :Change; }
