#include "membership/pending_releases.h"

#include <algorithm>

namespace reeltack::membership {

void PendingReleases::add(CallId call, std::string text, Time at, EarlierAttempt earlier) {
  if (pending_.size() >= settings_.max_size) pending_.pop_front();
  pending_.push_back({call, std::move(text), at, earlier});
}

bool PendingReleases::acknowledge(CallId call) {
  return std::erase_if(pending_, [call](const Entry& entry) { return entry.call == call; }) > 0;
}

void PendingReleases::end_reported(CallId call) {
  std::erase_if(pending_, [call](const Entry& entry) {
    return entry.call == call && entry.earlier == EarlierAttempt::ended;
  });
}

void PendingReleases::peer_active(Time at) {
  while (!pending_.empty() && at - pending_.front().at >= settings_.in_transit) pending_.pop_front();
}

std::vector<std::pair<CallId, std::string>> PendingReleases::take_after_disconnect(Time at) {
  std::vector<std::pair<CallId, std::string>> out;
  for (Entry& entry : pending_) {
    if (at - entry.at < settings_.assume_read_after) out.emplace_back(entry.call, std::move(entry.text));
  }
  pending_.clear();
  return out;
}

std::vector<std::pair<CallId, std::string>> PendingReleases::take_all() {
  std::vector<std::pair<CallId, std::string>> out;
  for (Entry& entry : pending_) out.emplace_back(entry.call, std::move(entry.text));
  pending_.clear();
  return out;
}

}  // namespace reeltack::membership
