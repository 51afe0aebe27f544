// What a request's head says, checked: who asks for what, until when, and where its body ends.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "clients.hpp"

namespace snowknot {

// What can't be taken, and why: answered with that status.
struct BadRequest : std::runtime_error {
  BadRequest(http::status s, const std::string& why) : std::runtime_error(why), status(s) {}
  http::status status;
};

[[noreturn]] void bad(const std::string& what);  // 400

using RequestHead = http::request<http::string_body>;

// The class that a path names; empty: none.
std::string_view first_part(std::string_view target);
// Of the requests that are counted: those for the path of a class.
std::optional<ClassIndex> class_of(std::string_view target, const Settings& settings);
// Each throws BadRequest. `began`: what the client's time is counted from. `longest`: for one that is streamed, in place of its
// class's deadline.
FrontRequest read_front_request(RequestHead& head, const Settings& settings, Time began);
ClientRequest read_request(RequestHead& head, const Settings& settings, Time began, std::optional<Duration> longest = std::nullopt);
void check_framing(const RequestHead& head);

}  // namespace snowknot
