// Destroying a relay while its event loop still holds callbacks of it. A callback that runs regardless is a use
// after free, which the sanitizers report.
#include "link_relay.hpp"

#include <unistd.h>

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

namespace docklift::test {
namespace {

Tcp::endpoint endpoint_of_this_process(int host) {
  const auto ip = "127.63." + std::to_string(::getpid() % 250 + 1) + "." + std::to_string(host);
  return {boost::asio::ip::make_address(ip), static_cast<std::uint16_t>(20000 + ::getpid() % 10000)};
}

BOOST_AUTO_TEST_SUITE(link_relay)

// Guards against a relay that accepts a connection after its destruction: with another connection waiting, the
// acceptor completes at once and its callback is queued already.
BOOST_AUTO_TEST_CASE(given_an_accepted_connection_when_its_relay_is_destroyed_then_the_connection_is_closed) {
  boost::asio::io_context io{1};
  boost::asio::io_context client_io{1};
  const auto at = endpoint_of_this_process(1);
  auto relay = std::make_unique<LinkRelay>(io, at, endpoint_of_this_process(2));
  Socket first(client_io.get_executor()), second(client_io.get_executor());
  first.connect(at);
  second.connect(at);
  BOOST_TEST(io.run_one() == 1u);  // accepts the first connection; the second one's callback is queued
  relay.reset();
  BOOST_TEST(io.poll() > 0u);
  char byte = 0;
  boost::system::error_code error;
  second.read_some(boost::asio::buffer(&byte, 1), error);
  BOOST_TEST(error.failed());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
