// The shared counts in Redis: the connections that redis::Client asks for, on Asio sockets.
#pragma once

#include <memory>

#include "redis/client.hpp"
#include "store/count_store.hpp"

namespace docklift::redis {

class RedisStore : public snowknot::CountStore {
 public:
  // The session's limits for calls and silence are filled in from `call_limit`.
  RedisStore(snowknot::asio::io_context& io, snowknot::Timers& timers, ClientOptions options,
             snowknot::Duration call_limit, Told told, Lost lost);
  ~RedisStore() override;
  RedisStore(const RedisStore&) = delete;
  RedisStore& operator=(const RedisStore&) = delete;

  void add(snowknot::CountName name, double amount, snowknot::Duration lifetime) override;
  bool tried() const override;
  const Client& client() const;

 private:
  class Links;
  std::shared_ptr<Links> links_;
};

}  // namespace docklift::redis
