// The store on sockets and its disk: carries the agreement's messages, time and writes, and serves
// registries.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "system/agreement/replica.hpp"
#include "system/base/log.hpp"
#include "system/base/settings.hpp"
#include "system/disk/disk.hpp"
#include "system/fleet/frames.hpp"
#include "system/net/link.hpp"

namespace docklift {

class Store {
 public:
  Store(boost::asio::io_context& io, const SystemSettings& settings, std::unique_ptr<Disk> disk,
        agreement::Kept kept);
  ~Store();
  void start();
  // The settings have changed: whom a store asks that knows no other.
  void set_seeds(const std::vector<std::string>& seeds);
  // Hands its vote to a learner, if one stands ready, and calls `ended` when nothing is left to do.
  void leave(std::function<void()> ended);
  void stop();  // ends all links; what is queued for the disk may be lost, as nothing was said of it

 private:
  struct Registry {
    std::shared_ptr<Link> link;
    bool follows = false;
    std::uint64_t position = 0;
  };
  void accepted(const std::shared_ptr<Link>& link);
  void on_frame(const std::shared_ptr<Link>& link, wire::Frame::Reader frame);
  void ended(const std::shared_ptr<Link>& link);
  void carry_out(agreement::Out out);
  void release(agreement::Out out);
  void send(const std::string& to, const agreement::Envelope& envelope);
  void dial_others();
  void drop_unreachable(const std::set<std::string>& needed);
  void tick();
  void bring_up_to_date(Registry& r);

  boost::asio::io_context& io_;
  SystemSettings settings_;
  snowknot::Clock clock_;
  agreement::Replica replica_;
  DiskThread disk_;
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
};

}  // namespace docklift
