#include "system/program/program.hpp"
#include "system/store/store.hpp"

namespace docklift {
namespace {

int run(int argc, char** argv) {
  std::vector<std::string> lost_voters;
  const ListOption voter_lost{
      "voter-lost",
      "the address of a voter that is gone for good with its disk, where the core waits "
      "for it; never of one that may come back",
      &lost_voters};
  return run_program({"docklift-store",
                      "Agrees on the configuration with the other stores and keeps it on disk.",
                      {voter_lost}},
                     argc, argv, [&lost_voters](boost::asio::io_context& io, const SystemSettings& settings) {
                       const Log log("store");
                       if (settings.data_dir.empty())
                         return log.error("read settings: datadir is missing"), 2;
                       const auto folder = settings.data_dir + "/changes";
                       auto disk = Disk::open(folder);
                       if (failed(disk)) return log.error(failure(disk).to_string()), 1;
                       auto kept = value(disk)->read();
                       if (failed(kept) && !value(disk)->is_damaged())
                         return log.error(failure(kept).to_string()), 1;
                       if (failed(kept)) {  // a store that lost its disk recovers its state from the others
                         log.error(failure(kept).to_string() + "; it is set aside");
                         value(disk).reset();
                         disk = Disk::recreate(folder);
                         if (failed(disk)) return log.error(failure(disk).to_string()), 1;
                         kept = agreement::DurableState{};
                       }
                       log.info(value(kept).has_state
                                    ? "the disk holds change " + std::to_string(value(kept).state.position) +
                                          " and " + std::to_string(value(kept).log.size()) + " after it"
                                    : "the disk is empty");
                       Store store(io, settings, std::move(value(disk)), std::move(value(kept)), lost_voters);
                       store.start();
                       const Signals signals(
                           io, [&] { store.leave([&] { io.stop(); }); },
                           [&](const SystemSettings& changed) { store.set_seeds(changed.seeds); });
                       io.run();
                       return 0;
                     });
}

}  // namespace
}  // namespace docklift

int main(int argc, char** argv) { return docklift::run(argc, argv); }
