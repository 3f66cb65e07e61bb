// Many gateways, each with its own seed and arrivals, before servers that answer after a fixed delay.
#pragma once

#include <memory>
#include <random>

#include "gateway.h"

namespace reeltack::test {

inline constexpr Duration kStep = std::chrono::milliseconds(20);

// They share nothing; only the sends are added up here.
class Fleet {
 public:
  Fleet(Settings settings, std::uint32_t gateways, double calls_a_second, bool skewed) : random_(7) {
    settings.gateways = gateways;
    double total = 0.0;
    for (std::uint32_t i = 0; i < gateways; ++i) {
      gateways_.push_back(std::make_unique<Gateway>(settings, 1000 + i));
      share_.push_back(skewed ? 1.0 / (1.0 + i) : 1.0);
      total += share_.back();
    }
    for (double& share : share_) share *= calls_a_second / total;
    out_.resize(gateways);
    seen_.resize(gateways);
  }

  void list(const std::vector<ServerEntry>& servers) {
    servers_ = static_cast<std::uint32_t>(servers.size());
    for (auto& g : gateways_) g->list(servers);
  }
  void lines(std::uint32_t server, double free, double lines) {
    for (auto& g : gateways_)
      g->on(ServerReported{.server = ServerId{server}, .report = {.free_lines = free, .lines = lines}});
  }

  // Attempts at a silent server end as time-outs, all others stand.
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
  struct Out {
    std::uint64_t call;
    std::uint32_t server;
    Time ends;
    bool silent;
  };

  void step(std::size_t i, std::optional<std::uint32_t> silent) {
    Gateway& g = *gateways_[i];
    g.pass(kStep);
    for (;;) {
      const auto due =
          std::find_if(out_[i].begin(), out_[i].end(), [&](const Out& o) { return o.ends <= g.now; });
      if (due == out_[i].end()) break;
      const Out o = *due;
      out_[i].erase(due);
      o.silent ? g.ends(o.call, AttemptOutcome::timeout) : g.stands(o.call);
      note(i, silent);
    }
    std::uniform_real_distribution<double> uniform;
    const double per_step = share_[i] * std::chrono::duration<double>(kStep).count();
    for (double left = per_step; left > 0.0; left -= 1.0) {
      if (uniform(random_) >= left) continue;
      ++calls_;
      g.arrive(calls_, 0, static_cast<std::uint32_t>(random_() % servers_), std::chrono::seconds(3), calls_);
      note(i, silent);
    }
    note(i, silent);
  }
  void note(std::size_t i, std::optional<std::uint32_t> silent) {
    Gateway& g = *gateways_[i];
    for (; seen_[i] < g.sends.size(); ++seen_[i]) {
      const SendSetUp& s = g.sends[seen_[i]];
      const auto server = static_cast<std::uint32_t>(s.server);
      sends_.emplace_back(server, g.now);
      const bool lost = silent == server;
      out_[i].push_back({static_cast<std::uint64_t>(s.call), server,
                         lost ? s.expires_at : g.now + std::chrono::milliseconds(100), lost});
    }
  }

  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::vector<double> share_;
  std::vector<std::vector<Out>> out_;
  std::vector<std::size_t> seen_;
  std::vector<std::pair<std::uint32_t, Time>> sends_;
  std::uint64_t calls_ = 0;
  std::uint32_t servers_ = 1;
};

}  // namespace reeltack::test
