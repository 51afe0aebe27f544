#include "store/moving_store.hpp"

#include <utility>

#include "store/cut_over.hpp"

namespace docklift::store {

namespace {

class MovingStore : public snowknot::CountStore {
 public:
  MovingStore(snowknot::asio::io_context& io, snowknot::Timers& timers, snowknot::Duration limit,
              Told on_answer, Lost on_lost, const snowknot::StoreFactory& before,
              const snowknot::StoreFactory& after, snowknot::Time cut_over, snowknot::Duration overlap)
      : timers_(timers),
        cut_over_(timers.now(), cut_over, overlap),
        on_answer_(std::move(on_answer)),
        on_lost_(std::move(on_lost)) {
    const auto make = [&](const snowknot::StoreFactory& factory, Side side) {
      return factory(
          io, timers, limit,
          [this, side](const snowknot::CountAnswer& a) {
            carry_out(cut_over_.answered(timers_.now(), side, a));
          },
          [this, side](const snowknot::CountsLost& l) { carry_out(cut_over_.lost(timers_.now(), side, l)); });
    };
    before_ = make(before, Side::before);
    after_ = make(after, Side::after);
    // The switch takes effect at the next call; the timer only writes the log line.
    if (cut_over > timers_.now())
      log_timer_ = timers_.at(cut_over, [this] {
        log_timer_.reset();
        snowknot::note("store: cut over, the new store decides from now on");
      });
  }
  ~MovingStore() override { timers_.cancel(log_timer_); }
  MovingStore(const MovingStore&) = delete;
  MovingStore& operator=(const MovingStore&) = delete;

  void add(snowknot::CountName name, double amount, snowknot::Duration lifetime) override {
    carry_out(cut_over_.add(timers_.now(), name, amount, lifetime));
  }
  bool tried() const override { return before_->tried() && after_->tried(); }
  void move_to(const snowknot::Tcp::endpoint& at) override {
    before_->move_to(at);
    after_->move_to(at);
  }

 private:
  void carry_out(const CutOver::Out& out) {
    if (out.lost) on_lost_(*out.lost);
    for (const auto& a : out.adds)
      (a.side == Side::before ? before_ : after_)->add(a.name, a.amount, a.lifetime);
    for (const auto& a : out.answers) on_answer_(a);
  }

  snowknot::Timers& timers_;
  CutOver cut_over_;
  Told on_answer_;
  Lost on_lost_;
  std::unique_ptr<snowknot::CountStore> before_, after_;
  snowknot::Timers::Handle log_timer_;
};

}  // namespace

snowknot::StoreFactory moving(snowknot::StoreFactory before, snowknot::StoreFactory after,
                              snowknot::Time cut_over, snowknot::Duration overlap) {
  return [before = std::move(before), after = std::move(after), cut_over, overlap](
             snowknot::asio::io_context& io, snowknot::Timers& timers, snowknot::Duration limit,
             snowknot::CountStore::Told on_answer,
             snowknot::CountStore::Lost on_lost) -> std::unique_ptr<snowknot::CountStore> {
    return std::make_unique<MovingStore>(io, timers, limit, std::move(on_answer), std::move(on_lost), before,
                                         after, cut_over, overlap);
  };
}

}  // namespace docklift::store
