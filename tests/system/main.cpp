#define BOOST_TEST_MODULE system
#include <boost/test/unit_test.hpp>

#include "system/base/log.hpp"

namespace {
struct Logs {
  Logs() { docklift::start_logs("error"); }
};
}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(Logs);
