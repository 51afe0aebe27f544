// The store on sockets and its disk: carries the agreement's messages, time and writes, and serves
// registries.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "system/agreement/replica.hpp"
#include "system/base/lifetime.hpp"
#include "system/base/log.hpp"
#include "system/base/settings.hpp"
#include "system/disk/disk.hpp"
#include "system/fleet/frames.hpp"
#include "system/net/link.hpp"
#include "system/transfer/change_feed.hpp"
#include "system/transfer/snapshot_receiver.hpp"

namespace docklift {

// A replica as the source of what followers are sent.
class ReplicaChanges : public fleet::ChangeSource {
 public:
  explicit ReplicaChanges(const agreement::Replica& replica) : replica_(replica) {}
  const configuration::State& state() const override { return replica_.state(); }
  bool covers(std::uint64_t place) const override { return replica_.recent().covers(place); }
  std::vector<fleet::Entry> entries_after(std::uint64_t place, std::size_t batch_bytes) const override;
  std::uint64_t digest_at(std::uint64_t place) const override { return replica_.digests().at(place); }

 private:
  const agreement::Replica& replica_;
};

class Store {
 public:
  Store(boost::asio::io_context& io, const SystemSettings& settings, std::unique_ptr<Disk> disk,
        agreement::DurableState kept, std::vector<std::string> lost_voters = {});
  ~Store();
  void start();
  // The settings have changed: whom a store asks that knows no other.
  void set_seeds(const std::vector<std::string>& seeds);
  // Hands its vote to a learner, if one stands ready, and calls `ended` when nothing is left to do.
  void leave(std::function<void()> ended);
  const configuration::State& state() const { return replica_.state(); }
  void stop();  // ends all links; what is queued for the disk may be lost, as nothing was said of it

 private:
  struct Registry {
    std::shared_ptr<Link> link;
    transfer::ChangeFeed::Follower changes{};
  };
  void accepted(const std::shared_ptr<Link>& link);
  void on_frame(const std::shared_ptr<Link>& link, wire::Frame::Reader frame);
  void ended(const std::shared_ptr<Link>& link);
  void carry_out(agreement::Actions out);
  void release(const agreement::Actions& out);
  void send(const std::string& to, const agreement::Envelope& envelope);
  void dial_others();
  void drop_unreachable(const std::set<std::string>& needed);
  void on_disk_lost(const Failure& why);
  void tick();
  void bring_up_to_date(Registry& r);
  void offer_snapshot(const agreement::SnapshotRequest& need);
  void on_snapshot_part(const std::string& from, wire::SnapshotPart::Reader frame);
  void carry_out(const transfer::SnapshotReceiver::Step& step);

  boost::asio::io_context& io_;
  SystemSettings settings_;
  snowknot::Clock clock_;
  agreement::Replica replica_;
  ReplicaChanges changes_{replica_};
  transfer::ChangeFeed feed_;            // of the registries, and of stores that need a snapshot
  transfer::SnapshotReceiver receiver_;  // of another store's snapshot
  Log log_;
  std::unique_ptr<LinkListener> listener_;
  std::map<std::string, std::shared_ptr<Dialer>> stores_;  // by ip
  std::map<Link*, std::string> peers_;                     // stores that dialled, by link
  std::map<std::string, std::string> zones_;               // of stores, as they have told
  std::map<Link*, Registry> registries_;
  std::map<std::uint64_t, std::pair<std::weak_ptr<Link>, std::uint64_t>> calls_;  // proposals -> who asked
  std::uint64_t proposals_ = 0, writes_out_ = 0;
  Timer timer_, leave_timer_;
  bool stopped_ = false;
  bool leaving_ = false;
  Lifetime lifetime_;
  DiskThread disk_;  // the last member: its thread uses the others until it is joined
};

}  // namespace docklift
