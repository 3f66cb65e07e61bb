// One stand-in centrale: its calls, its lines, its processor.
//
// Owns: its link to the controllers, its calls, and what it witnesses of them.
// Must never: know the bulletin or the other centrales, or judge what a controller does.
//
// Lives on the thread of its io_context. Errors: std::runtime_error from the constructor where the address is
// taken.
#pragma once

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "base/asio.h"
#include "base/base.h"
#include "load/plan/draws.h"
#include "standin/centrales.h"
#include "standin/link.h"

namespace reeltack::standin {

class Centrale {
 public:
  // What is written here is known to the instant. What is heard has come between the time that the event
  // carries and the last time when nothing waited to be read, which the witness knows.
  enum class Known { exactly, by_its_end };
  using Witness = std::function<void(load::OfficeEvent, Known)>;
  Centrale(boost::asio::io_context& io, const CentraleSettings& settings, std::uint64_t seed, Time started,
           Witness witness);

  void pause(bool on);
  void slow(double factor);
  void lose(double part);  // part of the lines is lost, and the calls on them are cut
  // As a machine that has vanished, but for its sockets: it says nothing and works on nothing that comes.
  void silent(bool on);
  void die();
  [[nodiscard]] const CentraleSettings& settings() const { return settings_; }
  void add_to(Centrales::Counts& out) const;

 private:
  enum class Phase { setting_up, answering, standing, ending };
  struct Call {
    Phase phase = Phase::setting_up;
    std::uint64_t from = 0;
    std::uint64_t number = 0;
    std::shared_ptr<boost::asio::steady_timer> over;
  };
  [[nodiscard]] std::uint32_t free() const { return lines_ > used_ ? lines_ - used_ : 0; }
  static bool has_stood(const Call& call) {
    return call.phase == Phase::standing || call.phase == Phase::ending;
  }
  void see(load::OfficeEvent::What what, std::uint64_t call, std::uint64_t from, int cause = 0);
  void see_heard(load::OfficeEvent::What what, std::uint64_t call, const Heard& h, int cause = 0);
  void hear(const Heard& h);
  void set_up(const Heard& h);
  void end(std::uint64_t from, std::uint64_t call, int cause, const char* note);
  void lost(const Heard& h);
  void cut(std::uint64_t id);
  // A call holds its line from the set-up on, whatever becomes of it.
  void drop(std::unordered_map<std::uint64_t, Call>::iterator call);
  void drive();  // carries out what the processor has done by now, and waits for its next
  void finish(const Processor::Done& d);
  void hold(std::uint64_t id, Call& call);
  void tell_load();
  void every();

  boost::asio::io_context& io_;
  const CentraleSettings settings_;
  const Witness witness_;
  load::Random random_;
  Processor processor_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer report_;
  std::unique_ptr<Link> link_;
  std::unordered_map<std::uint64_t, Call> calls_;
  std::vector<Processor::Done> done_;
  Time armed_ = Time::max();
  std::uint32_t lines_;
  std::uint32_t used_ = 0;
  bool changed_ = false;
  bool dead_ = false;
  bool silent_ = false;
  double util_ = 0.0;
  Duration busy_before_{};
  Time looked_ = base::now();
  Centrales::Counts counts_;
};

}  // namespace reeltack::standin
