# What stores say to each other and keep on disk.
@0xd3f6b1c8a02e7745;
using Cxx = import "/capnp/c++.capnp";
using Fleet = import "/system/wire/fleet.capnp";
$Cxx.namespace("docklift::agreement::wire");

struct Ballot { round @0 :UInt64; by @1 :Text; }
struct Change { kind @0 :UInt8; text @1 :Data; author @2 :Text; number @3 :UInt64; }
struct Accepted { slot @0 :UInt64; ballot @1 :Ballot; change @2 :Change; }
struct Message {
  slot @0 :UInt64;       # of ask, promise, offer, vote, chosen
  ballot @1 :Ballot;
  promised @2 :Ballot;
  union {
    ask @3 :Void;
    promise @4 :List(Accepted);
    offer @5 :Change;
    vote @6 :Void;
    chosen @7 :Change;
    statusAsk @8 :UInt64;
    status @9 :Status;
    fetch @10 :UInt64;
    log @11 :Log;
  }
}
struct Status { round @0 :UInt64; chosen @1 :UInt64; blank @2 :Bool; accepted @3 :List(Accepted); }
struct Log { snapshot @0 :Fleet.Snapshot; entries @1 :List(Entry); whole @2 :Bool; }
struct Entry { slot @0 :UInt64; change @1 :Change; }
