// The store on its sockets and disk: drives the agreement replica with messages, time and disk writes, and
// serves the registries.
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
#include "system/transfer/retry_pause.hpp"
#include "system/transfer/snapshot_receiver.hpp"

namespace docklift {

// Presents a replica as the source of the changes that followers are sent.
class ReplicaChanges : public fleet::ChangeSource {
 public:
  explicit ReplicaChanges(const agreement::Replica& replica) : replica_(replica) {}
  const configuration::State& state() const override { return replica_.state(); }
  bool covers(std::uint64_t position) const override { return replica_.recent().covers(position); }
  std::vector<fleet::Entry> entries_after(std::uint64_t position, std::size_t batch_bytes) const override;
  std::uint64_t digest_at(std::uint64_t position) const override { return replica_.digests().at(position); }

 private:
  const agreement::Replica& replica_;
};

// One store node. Runs on the io_context's thread; disk writes run on a thread of their own.
class Store {
 public:
  Store(boost::asio::io_context& io, const SystemSettings& settings, std::unique_ptr<Disk> disk,
        agreement::DurableState kept, std::vector<std::string> lost_voters = {});
  ~Store();
  void start();
  // Applies changed settings: the stores to contact while no others are known.
  void set_seeds(const std::vector<std::string>& seeds);
  // Hands the vote over to a learner, if one is ready, and calls `ended` once nothing is left to do. Further
  // calls change nothing.
  void leave(std::function<void()> ended);
  const configuration::State& state() const { return replica_.state(); }
  // Closes all links. Writes queued for the disk may be lost, as none of them has been acknowledged.
  void stop();

 private:
  struct RegistryLink {
    std::shared_ptr<Link> link;
    transfer::ChangeFeed::Follower changes{};
  };
  void continue_leaving(std::function<void()> ended);
  void accepted(const std::shared_ptr<Link>& link);
  void on_frame(const std::shared_ptr<Link>& link, wire::Frame::Reader frame);
  void on_link_closed(const std::shared_ptr<Link>& link);
  void execute(agreement::Actions out);
  void release(const agreement::Actions& out);
  void send(const std::string& to, const agreement::Envelope& envelope);
  void dial_others();
  void drop_unreachable(const std::set<std::string>& needed);
  void on_disk_lost(const Failure& why);
  void tick();
  void send_changes(RegistryLink& r);
  void offer_snapshot(const agreement::SnapshotRequest& need);
  void on_snapshot_part(const std::string& from, wire::SnapshotPart::Reader frame);
  void execute(const transfer::SnapshotReceiver::Step& step);

  boost::asio::io_context& io_;
  SystemSettings settings_;
  snowknot::Clock clock_;
  agreement::Replica replica_;
  ReplicaChanges changes_{replica_};
  transfer::ChangeFeed feed_;            // to the registries, and to stores that need a snapshot
  transfer::SnapshotReceiver receiver_;  // for another store's snapshot
  transfer::RetryPause retry_pause_;     // after one that could not be read
  Log log_;
  std::unique_ptr<LinkListener> listener_;
  std::map<std::string, std::shared_ptr<Dialer>> stores_;  // by ip
  std::map<Link*, std::string> peers_;                     // stores that connected to this one, by link
  std::map<std::string, std::string> zones_;               // of stores, as announced by them, by ip
  std::map<Link*, RegistryLink> registries_;
  // By proposal: the proposer's link and its call number.
  std::map<std::uint64_t, std::pair<std::weak_ptr<Link>, std::uint64_t>> calls_;
  std::uint64_t proposals_ = 0, writes_in_flight_ = 0;
  Timer timer_, leave_timer_;
  bool stopped_ = false;
  bool leaving_ = false;
  Lifetime lifetime_;
  DiskThread disk_;  // must be last: its thread uses the other members until it is joined
};

}  // namespace docklift
