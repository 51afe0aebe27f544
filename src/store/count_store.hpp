// Where the shared counts are kept. AddToCount is the module's only word to it, CountAnswer the only answer; the
// platform's counter (src/node/counter.*) is one store, Redis (src/redis) another.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "net/net.hpp"
#include "snowknot/gateway.hpp"

namespace snowknot {

class CountStore {
 public:
  using Told = std::function<void(const CountAnswer&)>;
  using Lost = std::function<void(const CountsLost&)>;  // for a store that can see that

  virtual ~CountStore() = default;
  // Adds to a count, whose name lives for `lifetime` from its first call on. Exactly one CountAnswer comes of each
  // call, within the store's time-out, also from within this function. Calls of one name are carried out in order.
  virtual void add(CountName name, double amount, Duration lifetime) = 0;
  // Each connection has come up, or has failed once.
  virtual bool tried() const = 0;
  // The store is at another address from now on; one that is configured elsewhere passes it over.
  virtual void move_to(const Tcp::endpoint&) {}
};

// Makes the store of a node that has another than the platform's counter. The settings' time-out for a call is given.
using StoreFactory = std::function<std::unique_ptr<CountStore>(asio::io_context&, Timers&, Duration,
                                                               CountStore::Told, CountStore::Lost)>;

}  // namespace snowknot
