#include "store/moving_store.hpp"

#include <utility>

#include "store/cut_over.hpp"

namespace docklift::store {

namespace {

class MovingStore : public snowknot::CountStore {
 public:
  MovingStore(snowknot::asio::io_context& io, snowknot::Timers& timers, snowknot::Duration limit, Told told,
              Lost lost, const snowknot::StoreFactory& before, const snowknot::StoreFactory& after,
              snowknot::Time cut_over, snowknot::Duration overlap)
      : timers_(timers),
        choice_(timers.now(), cut_over, overlap),
        told_(std::move(told)),
        lost_(std::move(lost)) {
    const auto make = [&](const snowknot::StoreFactory& factory, Side side) {
      return factory(
          io, timers, limit,
          [this, side](const snowknot::CountAnswer& a) {
            carry_out(choice_.answered(timers_.now(), side, a));
          },
          [this, side](const snowknot::CountsLost& l) { carry_out(choice_.lost(timers_.now(), side, l)); });
    };
    before_ = make(before, Side::before);
    after_ = make(after, Side::after);
    // That it has been passed is seen at the next call; this is only for the log.
    if (cut_over > timers_.now())
      word_ = timers_.at(cut_over, [this] {
        word_.reset();
        snowknot::note("store: cut over, the new store decides from now on");
      });
  }
  ~MovingStore() override { timers_.cancel(word_); }
  MovingStore(const MovingStore&) = delete;
  MovingStore& operator=(const MovingStore&) = delete;

  void add(snowknot::CountName name, double amount, snowknot::Duration lifetime) override {
    carry_out(choice_.add(timers_.now(), name, amount, lifetime));
  }
  bool tried() const override { return before_->tried() && after_->tried(); }
  void move_to(const snowknot::Tcp::endpoint& at) override {
    before_->move_to(at);
    after_->move_to(at);
  }

 private:
  void carry_out(const CutOver::Out& out) {
    if (out.lost) lost_(*out.lost);
    for (const auto& a : out.adds)
      (a.side == Side::before ? before_ : after_)->add(a.name, a.amount, a.lifetime);
    for (const auto& a : out.answers) told_(a);
  }

  snowknot::Timers& timers_;
  CutOver choice_;
  Told told_;
  Lost lost_;
  std::unique_ptr<snowknot::CountStore> before_, after_;
  snowknot::Timers::Handle word_;
};

}  // namespace

snowknot::StoreFactory moving(snowknot::StoreFactory before, snowknot::StoreFactory after,
                              snowknot::Time cut_over, snowknot::Duration overlap) {
  return [before = std::move(before), after = std::move(after), cut_over, overlap](
             snowknot::asio::io_context& io, snowknot::Timers& timers, snowknot::Duration limit,
             snowknot::CountStore::Told told,
             snowknot::CountStore::Lost lost) -> std::unique_ptr<snowknot::CountStore> {
    return std::make_unique<MovingStore>(io, timers, limit, std::move(told), std::move(lost), before, after,
                                         cut_over, overlap);
  };
}

}  // namespace docklift::store
