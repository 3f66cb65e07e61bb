// The list of servers: asks for it, takes it, binds anew what waits at one that left. Takes no other news.
#pragma once

#include "policy/outcomes.h"

namespace reeltack::policy {

struct List : Outcomes {
  void take(const ServerListReceived& list) {
    asked_ = true;
    if (list.complete) {
      for (auto& [id, s] : servers_) {
        const bool kept = std::any_of(list.entries.begin(), list.entries.end(),
                                      [known = id](const ServerEntry& e) { return e.server == known; });
        if (!kept) s.told.state = ServerState::gone;
      }
    }
    for (const ServerEntry& entry : list.entries) servers_[entry.server].told = entry;
    note_shares();  // what waits is bound anew by them
    for (auto& [id, s] : servers_) {
      if (!listed_ready(s)) move_away(s);
    }
    rebind_unbound();
    std::erase_if(noted_,
                  [&](const auto& n) { return now_ > n.second + 2 * std::max(set_.ramp, shortest_aim_); });
  }

  void take(const AdmissionLimitsReceived& terms) {
    closed_ = terms.retry_after_by_class;
    for (auto& [id, s] : servers_) s.pace = Duration{};
    for (const AdmissionLimitsReceived::SendInterval& p : terms.send_intervals) {
      if (Server* s = find_server(p.server)) s->pace = p.min_interval;
    }
  }

  void bind_anew(Call& call) {
    take_out(call);
    bind(call);
  }
  void move_away(Server& s) {
    while (!s.queue.due.empty()) bind_anew(calls_.at(by_order_.at(s.queue.due.begin()->second)));
  }

  void rebind_unbound() {
    std::vector<CallId> all;
    for (const auto& level : unbound_.levels) {
      for (const auto& [order, id] : level) all.push_back(id);
    }
    for (const CallId id : all) bind_anew(calls_.at(id));
  }

  void forget_gone() {
    const auto idle = [](const Server& s) { return !s.slot && s.queue.empty(); };
    std::erase_if(servers_,
                  [&](const auto& e) { return e.second.told.state == ServerState::gone && idle(e.second); });
  }

  void take(const ServerListFailed& /*failed*/) { asked_ = false; }
  void ask_for_list() {
    if (now_ < ask_again_) return;
    asked_ = true;
    ask_again_ = now_ + part_of(set_.must_ask_in, 0.1 + 0.1 * uniform());
    out_->emplace_back(SubscribeToServerList{true});
  }

  bool asked_ = false;
  Time ask_again_{};
};

}  // namespace reeltack::policy
