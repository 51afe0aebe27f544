#include "stream/sections.hpp"

#include <algorithm>
#include <sstream>
#include <stdexcept>

#include "config/options.hpp"

namespace docklift::stream {
namespace {

using namespace options;

constexpr std::int64_t kKiB = 1024, kMiB = 1024 * kKiB, kGiB = 1024 * kMiB, kTiB = 1024 * kGiB;
constexpr auto kSlab = static_cast<std::int64_t>(kSlabBytes);

Option bytes(std::string key, std::int64_t fallback, std::int64_t least, std::int64_t most, std::string doc) {
  return {.key = std::move(key),
          .type = Type::size,
          .fallback = fallback,
          .doc = std::move(doc),
          .reloadable = false,
          .least = least,
          .most = most};
}

std::vector<std::string> words(const std::string& text) {
  std::istringstream in(text);
  std::vector<std::string> all;
  for (std::string w; in >> w;) all.push_back(w);
  return all;
}

}  // namespace

Section stream_section() {
  Section s{.name = "stream", .doc = "Long bodies, passed on in both directions as they come."};
  s.options = {
      text("classes", Type::text, "", "Classes of the platform whose bodies are streamed, with spaces between; empty: none."),
      bytes("memory", 64 * kMiB, kSlab, kTiB, "For the bodies of all streams together."),
      number("most_streams", 1000, 1, 1'000'000, "Open at once; more are refused (503) with `retry_after`."),
      bytes("window", 256 * kKiB, kSlab, kGiB, "Held of one body, in each direction; reading pauses there and goes on at half of it."),
      bytes("prefix", 64 * kKiB, 0, kGiB,
            "Of a request's body that is kept whole: up to there a request that never ran may go to another server."),
      bytes("most_request", kGiB, 1, kTiB, "Of a request's body; more is answered 413."),
      bytes("most_answer", kGiB, 1, kTiB, "Of an answer's body; more is cut."),
      bytes("drain", kMiB, 0, kGiB, "Read and dropped of a request's body behind an early answer; then the connection ends."),
      span("longest", 10 * kMinute, kS, 24 * 60 * kMinute, "For a request and its answer whole; X-Timeout-Ms may ask for less."),
      bytes("least_rate", kKiB, 0, kGiB, "A second, over each `rate_window`, of whoever is waited for."),
      span("rate_window", 20 * kS, 100 * kMs, 60 * kMinute, "Over which `least_rate` is looked at."),
      span("stall", 10 * kS, 10 * kMs, 60 * kMinute, "The longest pause of whoever is waited for."),
      span("retry_after", kS, 0, kMinute, "Told to those for whom there is no room."),
      bytes("socket_buffer", 128 * kKiB, 0, kGiB, "Of each socket in the kernel, for each direction; 0: the kernel's choice."),
      text("trailers", Type::text, "", "Trailer fields that are passed on, with spaces between; others are dropped."),
      flag("require_length", false, "A body in chunks is answered 411."),
      bytes("bytes_per_unit", 0, 0, kTiB, "A request's body counts one unit for so much, if X-Quota tells less; 0: it doesn't."),
      bytes("unknown_length", kMiB, 1, kTiB, "What a body in chunks counts as until it has come; then it is settled."),
  };
  s.check = [](const Config& c, const Section::Wrong& wrong) {
    if (c.whole("stream.prefix") > c.whole("stream.window")) wrong("prefix", "is more than window");
    const auto floor = 2 * kSlab;
    if (c.whole("stream.memory") < floor)
      wrong("memory", "holds no stream: one needs " + size_text(floor));
    else if (c.whole("stream.memory") / floor < c.whole("stream.most_streams"))
      wrong("memory", "holds fewer than most_streams: each needs " + size_text(floor));
  };
  return s;
}

StreamOptions options_of(const Config& c) {
  StreamOptions o;
  const auto size = [&](const char* key) { return static_cast<std::size_t>(c.whole(std::string("stream.") + key)); };
  o.classes = words(c.text("stream.classes"));
  o.memory = size("memory");
  o.most_streams = size("most_streams");
  o.limits.window = size("window");
  o.limits.low = o.limits.window / 2;
  o.limits.prefix = size("prefix");
  o.limits.most_request = size("most_request");
  o.limits.most_answer = size("most_answer");
  o.limits.drain = size("drain");
  const ProgressLimits progress{.least_rate = size("least_rate"),
                                .window = c.duration("stream.rate_window"),
                                .stall = c.duration("stream.stall")};
  o.request = o.answer = o.take = progress;
  o.longest = c.duration("stream.longest");
  o.retry_after = c.duration("stream.retry_after");
  o.socket_buffer = size("socket_buffer");
  o.trailers = words(c.text("stream.trailers"));
  for (auto& t : o.trailers)
    std::ranges::transform(t, t.begin(), [](char ch) { return ch >= 'A' && ch <= 'Z' ? static_cast<char>(ch + 32) : ch; });
  o.require_length = c.boolean("stream.require_length");
  o.bytes_per_unit = size("bytes_per_unit");
  o.unknown_length = size("unknown_length");
  return o;
}

std::unique_ptr<StreamFront> front_of(const Config& c, boost::asio::io_context& io, snowknot::Node& node) {
  auto o = options_of(c);
  if (o.classes.empty()) return nullptr;
  for (const auto& name : o.classes)
    if (std::ranges::find(node.settings().classes, name, &snowknot::RequestClass::name) == node.settings().classes.end())
      throw std::runtime_error("stream.classes: the platform has no class " + name);
  snowknot::note("stream: at most " + std::to_string(o.most_streams) + " at once, in " +
                 size_text(static_cast<std::int64_t>(memory_bound(o))) + " (bodies " +
                 size_text(static_cast<std::int64_t>(o.memory)) + ", and 24 KiB of state each)");
  return std::make_unique<StreamFront>(io, node, std::move(o));
}

}  // namespace docklift::stream
