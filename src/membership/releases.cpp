#include "membership/releases.h"

#include <algorithm>

namespace reeltack::membership {

void Releases::sent(CallId call, std::string text, Time at) {
  if (sent_.size() >= settings_.most) sent_.pop_front();
  sent_.push_back({call, std::move(text), at});
}

bool Releases::heard(CallId call) {
  return std::erase_if(sent_, [call](const One& one) { return one.call == call; }) > 0;
}

void Releases::spoke(Time at) {
  while (!sent_.empty() && at - sent_.front().at >= settings_.crossing) sent_.pop_front();
}

std::vector<std::pair<CallId, std::string>> Releases::ended(Time at) {
  std::vector<std::pair<CallId, std::string>> out;
  for (One& one : sent_) {
    if (at - one.at < settings_.settled) out.emplace_back(one.call, std::move(one.text));
  }
  sent_.clear();
  return out;
}

std::vector<std::pair<CallId, std::string>> Releases::unread() {
  std::vector<std::pair<CallId, std::string>> out;
  for (One& one : sent_) out.emplace_back(one.call, std::move(one.text));
  sent_.clear();
  return out;
}

}  // namespace reeltack::membership
