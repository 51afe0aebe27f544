// Destroying a store while its disk thread and its event loop still hold callbacks of it. A callback that
// runs regardless is a use after free, which the sanitizers report.
#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <future>

#include "simulated_files.hpp"
#include "system/base/lifetime.hpp"
#include "system/store/store.hpp"

namespace docklift::test {
namespace {

SystemSettings single_store_settings() {
  const std::string ip = "127.62." + std::to_string(::getpid() % 200 + 20) + ".1";
  auto read = parse_settings(
      "hostname=m1\nbind_ip=" + ip + "\naz=z1\nrgn=r1\nazs.z1=r1\nport_range=21000,21005\nseeds=" + ip +
          ":21010\nbootstrap=true\nvoting=true\nhb_ms=1500\nlisten.ctl=" + ip + ":21010\nlisten.dir=" + ip +
          ":21011\nlisten.http=" + ip + ":21012\nlimits.nofile=1024\n",
      "test");
  BOOST_REQUIRE(!failed(read));
  return value(read);
}

BOOST_AUTO_TEST_SUITE(store_end)

BOOST_AUTO_TEST_CASE(given_a_callback_bound_to_a_lifetime_when_the_lifetime_has_ended_then_it_does_nothing) {
  int calls = 0;
  auto lifetime = std::make_unique<Lifetime>();
  auto callback = lifetime->bind([&calls](int times) { calls += times; });
  callback(2);
  lifetime.reset();
  callback(3);
  BOOST_TEST(calls == 2);
}

BOOST_AUTO_TEST_CASE(
    given_a_write_in_progress_when_its_store_is_destroyed_then_the_event_loop_continues_without_it) {
  boost::asio::io_context io{1};
  SimulatedFiles files;
  auto disk = Disk::open("/a-folder-of-no-machine/disk", files);
  BOOST_REQUIRE(!failed(disk));
  auto kept = value(disk)->read();
  BOOST_REQUIRE(!failed(kept));
  auto store = std::make_unique<Store>(io, single_store_settings(), std::move(value(disk)),
                                       std::move(value(kept)));
  std::promise<void> write_started;
  files.lose_power_at(1, 1, [&write_started] { write_started.set_value(); });
  store->start();  // its first write is durable
  write_started.get_future().wait();
  store.reset();  // waits for the write, whose completion is then queued in the event loop
  BOOST_TEST(io.poll() > 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
