// The interface of the stores that hold the shared counts. AddToCount is the decision module's only request,
// CountAnswer the only response; the platform's counter (src/node/counter.*) is one store, Redis (src/redis)
// another.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "net/net.hpp"
#include "snowknot/gateway.hpp"

namespace snowknot {

// A store of shared counts.
class CountStore {
 public:
  using Told = std::function<void(const CountAnswer&)>;
  using Lost = std::function<void(const CountsLost&)>;  // for a store that can detect it

  virtual ~CountStore() = default;
  // Adds to a count, which expires `lifetime` after its first call. Each call gets exactly one CountAnswer within the
  // store's timeout, possibly from within this function. Calls of one name are carried out in order.
  virtual void add(CountName name, double amount, Duration lifetime) = 0;
  // True once each connection has been established or has failed.
  virtual bool tried() const = 0;
  // The store has moved to another address; ignored by a store whose address is configured elsewhere.
  virtual void move_to(const Tcp::endpoint&) {}
};

// Creates the store of a node that does not use the platform's counter. The duration is the timeout of a call.
using StoreFactory = std::function<std::unique_ptr<CountStore>(asio::io_context&, Timers&, Duration,
                                                               CountStore::Told, CountStore::Lost)>;

}  // namespace snowknot
