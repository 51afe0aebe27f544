#include "daemon/daemon.hpp"

#include <fcntl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/signal_set.hpp>
#include <charconv>
#include <csignal>
#include <ctime>
#include <deque>
#include <set>
#include <sstream>
#include <system_error>

#include "admin/node_process.hpp"
#include "admin/server.hpp"
#include "daemon/parts.hpp"
#include "daemon/sections.hpp"
#include "daemon/system.hpp"
#include "node_config.hpp"
#include "graphql/sections.hpp"
#ifdef DOCKLIFT_WITH_PEERS
#include "peers/sections.hpp"
#include "peers/station.hpp"
#endif
#include "stream/sections.hpp"
#include "redis/sections.hpp"
#include "termination_signals.hpp"

namespace docklift {
namespace {

namespace asio = snowknot::asio;
using snowknot::Clients;
using snowknot::error_code;
using snowknot::note;
using snowknot::shown;
using snowknot::Tcp;

constexpr std::chrono::milliseconds kReadyPoll{20}, kEndAfterChannel{200}, kDoorAgain{200};

// Words between a process and its successor: one a message, over a Unix socket that keeps messages apart.
class Channel {
 public:
  using Stream = asio::posix::basic_stream_descriptor<snowknot::Executor>;
  Channel(asio::io_context& io, Descriptor fd, std::function<void(std::string_view)> word, std::function<void()> ended)
      : state_(std::make_shared<State>(Stream(io.get_executor(), fd.release()), std::move(word), std::move(ended))) {
    read(state_);
  }
  ~Channel() { close(); }
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  int descriptor() { return state_->stream.native_handle(); }
  void say(std::string_view word) {
    (void)::send(state_->stream.native_handle(), word.data(), word.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  }
  void close() {
    state_->word = nullptr, state_->ended = nullptr;
    error_code ignored;
    state_->stream.close(ignored);
  }

 private:
  struct State {
    State(Stream s, std::function<void(std::string_view)> w, std::function<void()> e)
        : stream(std::move(s)), word(std::move(w)), ended(std::move(e)) {}
    Stream stream;
    std::function<void(std::string_view)> word;
    std::function<void()> ended;
    std::array<char, 512> space{};
  };
  static void read(const std::shared_ptr<State>& s) {
    s->stream.async_read_some(asio::buffer(s->space), [s](const error_code& failed, std::size_t n) {
      if (!s->word) return;
      if (failed || n == 0) {
        const auto ended = s->ended;
        return ended();
      }
      const auto word = s->word;
      word({s->space.data(), n});
      if (s->word) read(s);
    });
  }
  std::shared_ptr<State> state_;
};

class Daemon {
 public:
  Daemon(asio::io_context& io, DaemonOptions options, snowknot::NodeConfig platform,
         snowknot::StoreFactory store, std::optional<Inheritance> inherited, std::optional<Descriptor> channel)
      : io_(io),
        options_(std::move(options)),
        config_(options_.config),
        platform_(std::move(platform)),
        inherited_(std::move(inherited)),
        timers_(io, clock_),
        notifier_(std::getenv("NOTIFY_SOCKET")),
#ifdef DOCKLIFT_WITH_PEERS
        station_(station_of(io)),
        node_(io, platform_, guarded(store)),
#else
        node_(io, platform_, store),
#endif
        graphql_(graphql::front_of(config_, node_)),
        streams_(stream::front_of(config_, io_, node_)),
        life_(life_limits(config_), channel.has_value()),
        signals_(io, SIGHUP, SIGTERM, SIGINT),
        listen_part_(node_.front(), platform_.listen),
        platform_part_(io, node_, platform_),
        parts_{&listen_part_, &platform_part_} {
    if (graphql_) node_.serve_front(graphql_.get());
    if (streams_) node_.serve_streams(streams_.get());
#ifdef DOCKLIFT_WITH_PEERS
    if (station_) {
      station_->serve(node_);
      if (channel) station_->inherit(inherited_ && inherited_->copies ? bytes_of(*inherited_->copies) : std::string());
      if (config_.boolean("peers.drains") || config_.boolean("peers.beliefs")) node_.set_list_view(&*station_);
      node_.ready_with([this] { return station_->warm(); });
    }
#endif
    if (const auto at = snowknot::endpoint_of(config_.text("admin.listen")); at && !channel) open_door(*at);
    signals_.add(SIGUSR2);
    signals_.add(SIGCHLD);
    await_signal();
    sigset_t all;
    sigemptyset(&all);
    for (const int s : {SIGHUP, SIGTERM, SIGINT, SIGUSR2, SIGCHLD}) sigaddset(&all, s);
    sigprocmask(SIG_UNBLOCK, &all, nullptr);
    if (channel)
      predecessor_.emplace(
          io, std::move(*channel), [this](std::string_view w) { from_predecessor(w); },
          [this] { tell(life::PredecessorGone{}); });
  }

  void start() {
#ifdef DOCKLIFT_WITH_PEERS
    if (station_) station_->start();
#endif
    tell(life::Begin{});
    watch_ready();
    watch_dog();
  }
  ExitCode exit_code() const { return exit_code_; }
  bool ended() const { return ended_; }

 private:
  // ---- Events in ----------------------------------------------------------------------------------------
  // What an action brings about at once waits until the actions before it are done.
  void tell(life::Event event) {
    events_.push_back(std::move(event));
    if (std::exchange(telling_, true)) return;
    while (!events_.empty() && !ended_) {
      const auto next = std::move(events_.front());
      events_.pop_front();
      for (const auto& action : life_.handle(now(), next)) perform(action);
      arm();
    }
    telling_ = false;
  }
  Instant now() const { return timers_.now().time_since_epoch(); }

  void arm() {
    if (life_.due() == armed_) return;
    timers_.cancel(timer_);
    armed_ = life_.due();
    if (armed_)
      timer_ = timers_.at(snowknot::Time(*armed_), [this] {
        timer_.reset(), armed_.reset();
        tell(life::TimeDue{});
      });
  }

  void await_signal() {
    signals_.async_wait([this](const error_code& failed, int number) {
      if (failed) return;
      await_signal();
      switch (number) {
        case SIGHUP: return tell(life::HangUp{});
        case SIGUSR2: return tell(life::Upgrade{});
        case SIGCHLD: return reap();
        default: return tell(life::Stop{});
      }
    });
  }

  void watch_ready() {
    if (node_.is_ready()) {
#ifdef DOCKLIFT_WITH_PEERS
      if (station_) station_->state(peers::NodeState::serving);
#endif
      return tell(life::NodeReady{});
    }
    timers_.after(kReadyPoll, [this] { watch_ready(); });
  }

  // Half of what the supervisor allows; from the event loop, so that one that hangs is noticed.
  void watch_dog() {
    const char* text = std::getenv("WATCHDOG_USEC");
    const char* whose = std::getenv("WATCHDOG_PID");
    if (text == nullptr || (whose != nullptr && std::to_string(::getpid()) != whose)) return;
    std::int64_t microseconds = 0;
    const std::string_view all(text);
    const auto [end, failed] = std::from_chars(all.data(), all.data() + all.size(), microseconds);
    if (failed != std::errc{} || microseconds <= 0) return;
    dog_ = std::chrono::microseconds(microseconds) / 2;
    pat_dog();
  }
  void pat_dog() {
    notifier_.send("WATCHDOG=1\n");
    timers_.after(dog_, [this] { pat_dog(); });
  }

  void reap() {
    for (auto it = children_.begin(); it != children_.end();) {
      int status = 0;
      if (::waitpid(*it, &status, WNOHANG) != *it) {
        ++it;
        continue;
      }
      const bool is_peer = *it == peer_pid_;
      it = children_.erase(it);
      if (!is_peer) continue;
      peer_pid_ = 0;
      tell(life::PeerFailed{WIFEXITED(status) ? "it exited with " + std::to_string(WEXITSTATUS(status))
                                              : "it was ended by signal " + std::to_string(WTERMSIG(status))});
    }
  }

  // A process that ends closes its descriptors first, and can be asked for its status a moment later: that tells more.
  void channel_ended(pid_t pid) {
    timers_.after(kEndAfterChannel, [this, pid] {
      if (pid == peer_pid_) tell(life::PeerFailed{"it closed the channel"});
    });
  }

  void from_predecessor(std::string_view word) {
    if (word == "yours" || word == "yours reload") tell(life::Yours{word != "yours"});
  }
  void from_successor(std::string_view word) {
    if (word == "ready") return tell(life::PeerReady{});
    if (word == "serving") return tell(life::PeerServing{});
  }

  // ---- Actions out --------------------------------------------------------------------------------------
  void perform(const life::Action& action) {
    try {
      std::visit([this](const auto& a) { carry_out(a); }, action);
    } catch (const std::exception& x) {
      note(std::string("an action failed: ") + x.what());
    }
  }

  void carry_out(const life::OpenListeners&) {
    try {
      std::vector<Tcp::endpoint> wanted{platform_.listen};
      for (const auto& at : config_.list("listen.extra"))
        if (const auto e = snowknot::endpoint_of(at)) wanted.push_back(*e);
      if (inherited_)
        for (auto& [at, fd] : inherited_->listeners) {
          auto l = node_.front().adopt(fd.release());
          (std::ranges::find(wanted, l->at) != wanted.end() ? opened_ : unwanted_).push_back(std::move(l));
        }
      for (const auto& at : wanted) {
        if (std::ranges::any_of(opened_, [&](const auto& l) { return l->at == at; })) continue;
        failing_ = shown(at);
        opened_.push_back(node_.front().bind(at));
      }
      take_pid_file();
    } catch (const PidFileTaken& x) {
      note(std::string("docklift: ") + x.what());
      return tell(life::ListenersFailed{ExitCode::temporary});
    } catch (const boost::system::system_error& x) {
      note("docklift: listen " + failing_ + ": " + x.code().message());
      return tell(life::ListenersFailed{ExitCode::os});
    } catch (const std::system_error& x) {
      note(std::string("docklift: ") + x.what());
      return tell(life::ListenersFailed{ExitCode::cant_create});
    }
    node_.begin();
    tell(life::ListenersUp{});
  }

  void take_pid_file() {
    const auto& path = config_.text("daemon.pid_file");
    if (path.empty()) return;
    if (inherited_ && inherited_->pid_file)
      pid_file_.emplace(path, std::move(*inherited_->pid_file));
    else
      pid_file_.emplace(PidFile::acquire(path));
  }

  void carry_out(const life::Accept&) {
    if (const auto at = snowknot::endpoint_of(config_.text("admin.listen")); at && !door_) open_door(*at);
    if (!opened_.empty()) {
      for (const auto& l : std::exchange(opened_, {})) node_.front().serve(l);
      // Who waits on a listener that the file doesn't name any more is still answered.
      for (const auto& l : std::exchange(unwanted_, {})) node_.front().end(l);
      return;
    }
    const auto all = node_.front().listeners();
    for (const auto& l : all) node_.front().serve(l);
  }
  void carry_out(const life::PauseAccepting&) {
    for (const auto& l : node_.front().listeners()) node_.front().pause(l);
  }
  void carry_out(const life::LeaveListeners&) {
    const auto all = node_.front().listeners();
    for (const auto& l : all) node_.front().leave(l);
    handed_over_ = true;
    door_.reset();
#ifdef DOCKLIFT_WITH_PEERS
    if (station_) station_->leave();  // the successor has the name now
#endif
  }

  void carry_out(const life::ReadFile& a) {
    std::string refused;
    next_.reset();
    auto read = read_config_file(*options_.schema, config_.file());
    if (read.config) {
      read.mistakes = changes_that_need_a_restart(config_, *read.config);
      if (read.mistakes.empty()) {
        try {
          platform_part_.set_next(snowknot::read_node_config(options_.platform_config));
          next_.emplace(std::move(*read.config));
        } catch (const std::exception& x) {
          refused = x.what();
        }
      }
    }
    for (const auto& m : read.mistakes) refused += (refused.empty() ? "" : "\n  ") + m.text();
    tell(life::FileRead{a.generation, std::move(refused)});
  }
  void carry_out(const life::Prepare& a) {
    const auto left = std::make_shared<std::size_t>(parts_.size());
    preparing_ = a.generation;
    for (auto* part : parts_) {
      part->prepare(*next_, [this, left, generation = a.generation](std::string refused) {
        if (preparing_ != generation) return;
        if (!refused.empty() || --*left == 0) {
          preparing_ = 0;
          tell(life::Prepared{generation, std::move(refused)});
        }
      });
      if (preparing_ == 0) return;  // refused
    }
  }
  void carry_out(const life::Apply&) {
    for (auto* part : parts_) part->commit();
    config_ = std::move(*next_);
#ifdef DOCKLIFT_WITH_PEERS
    if (station_) station_->set_seeds(config_.list("peers.seeds"));
#endif
    next_.reset();
    life_.set_limits(life_limits(config_));
  }
  void carry_out(const life::Revert&) {
    preparing_ = 0;
    for (auto* part : parts_) part->revert();
    next_.reset();
  }

  void carry_out(const life::Spawn&) {
    try {
      std::array<int, 2> ends{};
      if (::socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0, ends.data()) != 0)
        throw std::system_error(errno, std::system_category(), "channel");
      Descriptor ours(ends[0]), theirs(ends[1]);
      std::vector<std::pair<std::string, int>> listeners;
      for (const auto& l : node_.front().listeners()) listeners.emplace_back(shown(l->at), l->acceptor.native_handle());
      std::optional<Descriptor> copies;
#ifdef DOCKLIFT_WITH_PEERS
      if (station_) copies = file_of(station_->copies());
#endif
      send_inheritance(ours.get(), listeners, pid_file_ ? std::optional(pid_file_->descriptor()) : std::nullopt,
                       copies ? std::optional(copies->get()) : std::nullopt);
      const auto& named = config_.text("upgrade.binary");
      peer_pid_ = start_successor(named.empty() ? program_ : named, options_.arguments, theirs.get());
      children_.insert(peer_pid_);
      successor_.emplace(
          io_, std::move(ours), [this](std::string_view w) { from_successor(w); },
          [this, pid = peer_pid_] { channel_ended(pid); });
    } catch (const std::exception& x) {
      tell(life::PeerFailed{x.what()});
    }
  }
  void carry_out(const life::KillPeer&) {
    successor_.reset();
    if (const auto pid = std::exchange(peer_pid_, 0); pid > 0) ::kill(pid, SIGKILL);
    reap();
  }
  void carry_out(const life::HandOver& a) { successor_->say(a.reload ? "yours reload" : "yours"); }
  void carry_out(const life::ForwardReload&) {
    if (peer_pid_ > 0) ::kill(peer_pid_, SIGHUP);
  }
  void carry_out(const life::TellReady&) { predecessor_->say("ready"); }
  void carry_out(const life::TellServing&) { predecessor_->say("serving"); }
  void carry_out(const life::WritePid&) {
    notifier_.send("MAINPID=" + std::to_string(::getpid()) + "\n");
    if (pid_file_) pid_file_->write(::getpid());
  }

  void carry_out(const life::StartDrain& a) {
#ifdef DOCKLIFT_WITH_PEERS
    if (station_) station_->state(peers::NodeState::draining);
#endif
    const auto take_new = a.take_new ? config_.duration("daemon.accept_after_stop") : snowknot::facts::kNewAfterTerm;
    node_.drain([this] { tell(life::Drained{}); }, take_new);
  }
  void carry_out(const life::AnswerRemaining&) { node_.answer_remaining(config_.duration("daemon.retry_after")); }
  void carry_out(const life::Notify& a) {
    auto state = a.state;
    if (state.starts_with("RELOADING=1")) {
      timespec t{};
      clock_gettime(CLOCK_MONOTONIC, &t);
      state += "MONOTONIC_USEC=" + std::to_string(t.tv_sec * 1'000'000LL + t.tv_nsec / 1'000) + "\n";
    }
    notifier_.send(state);
  }
  void carry_out(const life::Log& a) { note(a.text); }
  void carry_out(const life::Exit& a) {
#ifdef DOCKLIFT_WITH_PEERS
    if (station_) station_->leave();
#endif
    exit_code_ = a.code;
    ended_ = true;
    snowknot::block_termination_signals(true);  // the handlers are about to be destroyed
    if (pid_file_ && !handed_over_ && opened_.empty()) pid_file_->remove();  // else it is another's
    io_.stop();
  }
  // Another process may still have it: then it is tried again.
  void open_door(const Tcp::endpoint& at) {
    try {
      door_.emplace(io_, timers_, at, door_process_);
    } catch (const boost::system::system_error& x) {
      note("docklift: admin.listen " + shown(at) + ": " + x.code().message());
      timers_.after(kDoorAgain, [this, at] {
        if (!door_ && !ended_ && !handed_over_) open_door(at);
      });
    }
  }
#ifdef DOCKLIFT_WITH_PEERS
  std::unique_ptr<peers::Station> station_of(asio::io_context& io) {
    auto o = peers::station_options(config_, platform_);
    return o ? std::make_unique<peers::Station>(io, timers_, std::move(*o), platform_.seed) : nullptr;
  }
  // Peers look at the calls to the platform's counter too, which the node makes by itself where there are none.
  snowknot::StoreFactory guarded(const snowknot::StoreFactory& store) {
    if (!station_ || !config_.boolean("peers.counts") || (!store && !platform_.counter)) return store;
    if (store) return station_->wrapped(store);
    return station_->wrapped([at = *platform_.counter](asio::io_context& io, snowknot::Timers& timers, snowknot::Duration limit,
                                                       snowknot::CountStore::Told told, const snowknot::CountStore::Lost&)
                                 -> std::unique_ptr<snowknot::CountStore> {
      return std::make_unique<snowknot::Counter>(io, timers, at, limit, std::move(told));
    });
  }
  std::string fleet() const { return station_ ? station_->fleet() : std::string(); }
#else
  std::string fleet() const { return {}; }
#endif

  asio::io_context& io_;
  DaemonOptions options_;
  Config config_;
  std::optional<Config> next_;
  snowknot::NodeConfig platform_;
  std::optional<Inheritance> inherited_;
  snowknot::Clock clock_;
  snowknot::Timers timers_;
  Notifier notifier_;
#ifdef DOCKLIFT_WITH_PEERS
  std::unique_ptr<peers::Station> station_;
#endif
  snowknot::Node node_;
  admin::NodeProcess door_process_{node_, {}, [this] { return fleet(); }};
  std::optional<admin::Server> door_;
  std::unique_ptr<graphql::GraphqlFront> graphql_;
  std::unique_ptr<stream::StreamFront> streams_;
  Lifecycle life_;
  asio::basic_signal_set<snowknot::Executor> signals_;
  ListenPart listen_part_;
  PlatformPart platform_part_;
  std::vector<Part*> parts_;
  std::string program_ = path_of_this_program();
  std::vector<Clients::ListenerPtr> opened_, unwanted_;  // not served yet
  std::string failing_;
  std::optional<PidFile> pid_file_;
  std::optional<Channel> predecessor_, successor_;
  pid_t peer_pid_ = 0;
  std::set<pid_t> children_;
  std::deque<life::Event> events_;
  bool telling_ = false, ended_ = false, handed_over_ = false;
  std::uint64_t preparing_ = 0;  // the generation that is being prepared
  std::optional<Instant> armed_;
  snowknot::Timers::Handle timer_;
  snowknot::Duration dog_{};
  ExitCode exit_code_ = ExitCode::ok;
};

}  // namespace

ExitCode run_daemon(DaemonOptions options) {
  std::signal(SIGPIPE, SIG_IGN);
  std::optional<Inheritance> inherited;
  std::optional<Descriptor> channel;
  if (options.handover >= 0) {
    channel.emplace(options.handover);
    ::fcntl(options.handover, F_SETFD, FD_CLOEXEC);
    try {
      inherited = receive_inheritance(options.handover);
    } catch (const std::exception& x) {
      note(std::string("docklift: ") + x.what());
      return ExitCode::unavailable;
    }
  }
  std::optional<snowknot::NodeConfig> platform;
  snowknot::StoreFactory store;
  try {
    platform.emplace(snowknot::read_node_config(options.platform_config));
    store = redis::store_factory(options.config, platform->seed, platform->counter);
    // What a query costs shows in its answer, and a long body's units when it has come; nothing else is settled after.
    if (!options.config.text("graphql.path").empty() || options.config.whole("stream.bytes_per_unit") > 0) platform->named.settings.settled_after = true;
  } catch (const std::exception& x) {
    note(std::string("docklift: ") + x.what());
    return ExitCode::config;
  }
  asio::io_context io(1);
  std::optional<Daemon> made;
  try {
    made.emplace(io, std::move(options), std::move(*platform), store, std::move(inherited), std::move(channel));
  } catch (const std::exception& x) {  // a file that the configuration names, say
    note(std::string("docklift: ") + x.what());
    return ExitCode::config;
  }
  auto& daemon = *made;
  daemon.start();
  while (!daemon.ended()) {
    try {
      io.run();
      break;
    } catch (const std::exception& x) {
      note(std::string("a handler failed: ") + x.what());  // nothing that goes wrong with one event ends the process
    }
  }
  return daemon.exit_code();
}

}  // namespace docklift
