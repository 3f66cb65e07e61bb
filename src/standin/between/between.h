// The network between the controllers of a fleet: a relay a directed pair, with faults by hand and by
// schedule.
//
// Owns: the relays' sockets, the one thread that serves them, and the state of every link.
// Must never: judge, look into a message, or speak to anything off this machine.
//
// Member i reaches member j at relay(i, j) instead of j's own address: datagrams and connections alike. What
// i sends takes the faults of the link i->j, what j answers those of j->i: over a connection whoever dialled
// it, as datagrams by j's own relay to i. Without faults everything passes at once.
//
// Calls from any thread; each has taken effect when it returns: what comes to a relay later meets the new
// faults. Times: spans from begin(), by a steady clock. Errors: std::runtime_error from the constructor where
// an address is taken or cannot be had; std::invalid_argument for a name that nobody has or a fault out of
// bounds. Descriptors: two a directed pair and two a connection; the soft limit is raised where that needs
// it.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/base.h"
#include "standin/model/fault_plan.h"
#include "standin/model/faults.h"

namespace reeltack::standin {

struct BetweenMember {
  std::string name;
  base::Address at;  // its own, of the fleet's link: UDP and TCP
};
struct BetweenSettings {
  std::vector<BetweenMember> members;
  base::Address relays;  // the first relay's; the port counts up, one a pair (n * n ports are taken)
  FaultPlan::Groups groups;
  std::vector<ScheduledFault> schedule;
  std::uint64_t seed = 1;
};

class Between {
 public:
  explicit Between(BetweenSettings settings);
  ~Between();
  Between(const Between&) = delete;
  Between& operator=(const Between&) = delete;

  // Where `from` reaches `to`; and all that `from` needs, as `fleet.link.via` takes it: {n2: HOST:PORT, ...}.
  [[nodiscard]] base::Address relay(const std::string& from, const std::string& to) const;
  [[nodiscard]] std::map<std::string, base::Address> via(const std::string& from) const;
  [[nodiscard]] std::string via_yaml(const std::string& from) const;

  void begin();  // the schedule's time runs from here; once

  // By hand, beside what the schedule does. `set` replaces what was set by hand on these links before.
  void set(const LinkSet& links, const Fault& fault);
  void clear(const LinkSet& links);
  void reset(const LinkSet& links);  // every open connection of these links, once; new ones come up
  // A cut both ways between each of `a` and each of `b`, beside what is set by hand on those links.
  void partition(const std::vector<std::string>& a, const std::vector<std::string>& b);
  void heal();  // nothing is set by hand any more; the schedule goes on

  [[nodiscard]] LinkCounts counts(const std::string& from, const std::string& to) const;
  [[nodiscard]] std::map<std::pair<std::string, std::string>, LinkCounts> counts() const;
  [[nodiscard]] std::uint64_t digest(const std::string& from, const std::string& to) const;
  void check() const;  // every link's books; throws std::logic_error

 private:
  class World;
  std::unique_ptr<World> world_;
};

// A file of the network: YAML held to share/schemas/between.schema.json. Throws yaml::Error.
BetweenSettings read_between(const std::string& path);
BetweenSettings parse_between(const std::string& text, const std::string& file);
const char* between_schema();

}  // namespace reeltack::standin
