// The list of servers and the admission limits: requests and applies the list, and rebinds calls that wait at
// a server that is no longer ready. Handles no other event.
#pragma once

#include "policy/outcome_handling.h"

namespace reeltack::policy {

struct ServerList : OutcomeHandling {
  void handle(const ServerListReceived& list) {
    list_requested_ = true;
    if (list.complete) {
      for (auto& [id, s] : servers_) {
        const bool listed = std::any_of(list.entries.begin(), list.entries.end(),
                                        [known = id](const ServerEntry& e) { return e.server == known; });
        if (!listed) s.entry.state = ServerState::gone;
      }
    }
    for (const ServerEntry& entry : list.entries) servers_[entry.server].entry = entry;
    update_shares();  // before waiting calls are rebound, which uses the shares
    for (auto& [id, s] : servers_) {
      if (!is_ready(s)) rebind_queue(s);
    }
    rebind_unbound();
    std::erase_if(logged_at_, [&](const auto& logged) {
      return now_ > logged.second + 2 * std::max(settings_.ramp, shortest_aim_);
    });
  }

  void handle(const AdmissionLimitsReceived& limits) {
    retry_after_by_class_ = limits.retry_after_by_class;
    for (auto& [id, s] : servers_) s.min_send_interval = Duration{};
    for (const AdmissionLimitsReceived::SendInterval& i : limits.send_intervals) {
      if (Server* s = find_server(i.server)) s->min_send_interval = i.min_interval;
    }
  }

  void rebind(Call& call) {
    remove(call);
    bind(call);
  }
  void rebind_queue(Server& s) {
    while (!s.queue.by_latest_send.empty())
      rebind(calls_.at(waiting_.at(s.queue.by_latest_send.begin()->second)));
  }

  void rebind_unbound() {
    std::vector<CallId> all;
    for (const auto& level : unbound_.levels) {
      for (const auto& [order, id] : level) all.push_back(id);
    }
    for (const CallId id : all) rebind(calls_.at(id));
  }

  void erase_gone_servers() {
    const auto idle = [](const Server& s) { return !s.pending && s.queue.empty(); };
    std::erase_if(servers_,
                  [&](const auto& e) { return e.second.entry.state == ServerState::gone && idle(e.second); });
  }

  void handle(const ServerListFailed& /*failed*/) { list_requested_ = false; }
  void request_list() {
    if (now_ < next_request_at_) return;
    list_requested_ = true;
    next_request_at_ = now_ + scaled(settings_.must_ask_in, 0.1 + 0.1 * uniform());
    actions_->emplace_back(SubscribeToServerList{true});
  }

  bool list_requested_ = false;
  Time next_request_at_{};
};

}  // namespace reeltack::policy
