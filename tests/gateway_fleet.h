// Many gateways, each with its own seed and arrivals, before servers that answer after a fixed delay.
#pragma once

#include <memory>
#include <random>

#include "gateway.h"

namespace reeltack::test {

inline constexpr Duration kStep = std::chrono::milliseconds(20);

// The gateways share no state; the fleet only collects their sends.
class Fleet {
 public:
  // `skewed`: the traffic of the gateways differs, that of gateway i being 1 / (1 + i) of the first one's.
  Fleet(Settings settings, std::uint32_t gateways, double calls_per_second, bool skewed) : random_(7) {
    settings.gateways = gateways;
    double total = 0.0;
    for (std::uint32_t i = 0; i < gateways; ++i) {
      gateways_.push_back(std::make_unique<Gateway>(settings, 1000 + i));
      call_rates_.push_back(skewed ? 1.0 / (1.0 + i) : 1.0);
      total += call_rates_.back();
    }
    for (double& rate : call_rates_) rate *= calls_per_second / total;
    pending_.resize(gateways);
    sends_read_.resize(gateways);
  }

  void receive_list(const std::vector<ServerEntry>& servers) {
    servers_ = static_cast<std::uint32_t>(servers.size());
    for (auto& g : gateways_) g->receive_list(servers);
  }
  void report_lines(std::uint32_t server, double free, double lines) {
    for (auto& g : gateways_)
      g->on(ServerReported{.server = ServerId{server}, .report = {.free_lines = free, .lines = lines}});
  }

  // Attempts at a silent server time out; all others succeed.
  void run(Duration time, std::optional<std::uint32_t> silent = {}) {
    for (Duration t{}; t < time; t += kStep) {
      for (std::size_t i = 0; i < gateways_.size(); ++i) step(i, silent);
    }
  }

  [[nodiscard]] std::vector<Time> sends_to(std::uint32_t server) const {
    std::vector<Time> times;
    for (const auto& [to, at] : sends_) {
      if (to == server) times.push_back(at);
    }
    std::sort(times.begin(), times.end());
    return times;
  }
  [[nodiscard]] Time now() const { return gateways_.front()->now; }

 private:
  struct PendingAttempt {
    std::uint64_t call;
    std::uint32_t server;
    Time ends_at;
    bool times_out;
  };

  void step(std::size_t i, std::optional<std::uint32_t> silent) {
    Gateway& g = *gateways_[i];
    g.advance(kStep);
    for (;;) {
      const auto due = std::find_if(pending_[i].begin(), pending_[i].end(),
                                    [&](const PendingAttempt& a) { return a.ends_at <= g.now; });
      if (due == pending_[i].end()) break;
      const PendingAttempt attempt = *due;
      pending_[i].erase(due);
      attempt.times_out ? g.end_attempt(attempt.call, AttemptOutcome::timeout) : g.establish(attempt.call);
      read_sends(i, silent);
    }
    std::uniform_real_distribution<double> uniform;
    const double per_step = call_rates_[i] * std::chrono::duration<double>(kStep).count();
    for (double left = per_step; left > 0.0; left -= 1.0) {
      if (uniform(random_) >= left) continue;
      ++calls_;
      g.arrive(calls_, 0, static_cast<std::uint32_t>(random_() % servers_), std::chrono::seconds(3), calls_);
      read_sends(i, silent);
    }
    read_sends(i, silent);
  }
  void read_sends(std::size_t i, std::optional<std::uint32_t> silent) {
    Gateway& g = *gateways_[i];
    for (; sends_read_[i] < g.sends.size(); ++sends_read_[i]) {
      const SendSetUp& s = g.sends[sends_read_[i]];
      const auto server = static_cast<std::uint32_t>(s.server);
      sends_.emplace_back(server, g.now);
      const bool times_out = silent == server;
      pending_[i].push_back({static_cast<std::uint64_t>(s.call), server,
                             times_out ? s.expires_at : g.now + std::chrono::milliseconds(100), times_out});
    }
  }

  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::vector<double> call_rates_;                     // of each gateway, per second
  std::vector<std::vector<PendingAttempt>> pending_;   // of each gateway
  std::vector<std::size_t> sends_read_;                // of each gateway: sends already processed here
  std::vector<std::pair<std::uint32_t, Time>> sends_;  // of all gateways
  std::uint64_t calls_ = 0;
  std::uint32_t servers_ = 1;
};

}  // namespace reeltack::test
