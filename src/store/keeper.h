// The keeper: takes what is to last from the one who decides, and has one thread write it.
//
// Owns: a bounded queue where the latest value of a key wins, the thread, the store while it runs, and the
//   rule by which it tries again.
// Must never: have a caller wait for the disk (put and erase hold a lock for memory work only), end the
//   program over a disk, report a change as kept that the disk has not confirmed, or lose a change that it
//   took, but for the last ones of an end on a disk that refuses.
//
// Threads: put, erase, remember, kept, counts from any; `told` and `found` are called on the keeper's own,
// without its lock held, and must not block for long nor destroy the keeper. Waiting changes go out together
// as one batch: a group commit. After a failure, whatever it was, it tries again after `first_retry`, then
// twice as long each time up to `last_retry`; a put does not shorten that. Where there is no store (refused,
// failed, or found damaged while it ran) trying again means opening it; so it does after kReopenAfter
// failures of input or output in a row, for a file of a folder that was mounted anew is not the one that is
// open. What has been put since is written over what is found then; every value that was put or remembered in
// this life and is not found as it was is written again, in one batch with what waits.
#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "base/base.h"
#include "base/outage.h"
#include "store/store.h"

namespace reeltack::store {

struct KeeperEvent {
  enum class Kind {
    failed,   // a batch could not be written, or no store be opened; told once until the next `written`, and
              // again where the store is then found damaged
    lasting,  // it still cannot, with the reason of now
    written,  // the first batch after a failure
    opened,   // a store that was not to be had at the start, or was damaged, is open now
  } kind = Kind::failed;
  Why why = Why::none;                    // for failed and lasting
  Opened::How how = Opened::How::opened;  // for opened: after `fresh` and `set_aside` all is written again
  std::string text;                       // what failed; for opened: why it was set aside
  std::string aside;                      // for opened after `set_aside`: the file's new name
  std::chrono::milliseconds lasted{0};    // since the first failure
  unsigned failures = 0;                  // in that time
  std::size_t waiting = 0;                // changes that are not durable
};
// One line for a log: what is the case, since when and why, as key=value words.
std::string to_text(const KeeperEvent& event);

inline constexpr unsigned kReopenAfter = 2;

struct KeeperSettings {
  // Keys and values waiting or being written; so many more are held to be written again.
  std::size_t most_bytes = std::size_t{4} << 20;
  std::size_t most_keys = 4096;  // as above
  std::chrono::milliseconds first_retry{1000};
  std::chrono::milliseconds last_retry{60000};
  // A failure that lasts is told again after this long, then after twice as long each time.
  std::chrono::milliseconds first_reminder{60000};
  std::chrono::milliseconds last_reminder{3600000};
  std::function<void(const KeeperEvent&)> told;  // may be empty
  // Where no store was given and one could be opened later: what is in it, before anything is written over
  // it.
  std::function<void(const std::vector<Kept>&)> found;  // may be empty
  std::function<std::chrono::steady_clock::time_point()> clock = [] {
    return std::chrono::steady_clock::now();
  };
};

struct KeeperCounts {
  std::uint64_t taken = 0;      // puts and erases taken
  std::uint64_t coalesced = 0;  // of them, those that took the place of one that was waiting
  std::uint64_t refused = 0;    // by size, bytes or keys
  std::uint64_t batches = 0;    // written
  std::uint64_t written = 0;    // changes in them
  std::uint64_t failures = 0;   // batches or openings that failed
  std::size_t waiting = 0;      // changes now, with those being written
  bool failing = false;
};

class Keeper {
 public:
  // Takes the store that open() gave, or none: then it opens one itself, the first time after `first_retry`.
  // Throws std::runtime_error where no thread can be had.
  Keeper(StoreSettings store, Opened&& opened, KeeperSettings settings);
  ~Keeper();  // writes what waits, once, and closes the store
  Keeper(const Keeper&) = delete;
  Keeper& operator=(const Keeper&) = delete;

  // The number of the change, or 0 where it was refused (and the former value stays). Numbers rise; a change
  // is durable where kept() is not below its number. kept() falls to 0 where the store is found damaged,
  // until all is written again.
  std::uint64_t put(const std::string& key, std::string value);
  std::uint64_t erase(const std::string& key);
  // A value that the store holds since an earlier life, to be written again where it is lost in this one.
  void remember(const std::string& key, std::string value);
  [[nodiscard]] std::uint64_t kept() const;
  // Waits until all that was taken before is durable; false where it is not by then. For the start and the
  // end of the program, never for the core.
  bool flush(std::chrono::milliseconds within);
  [[nodiscard]] KeeperCounts counts() const;

 private:
  using Changes = std::map<std::string, std::optional<std::string>>;
  std::uint64_t take(const std::string& key, std::optional<std::string> value);
  void run();
  bool open_again();
  void hold(const std::string& key, const std::optional<std::string>& value);
  void write_what_is_missing(const std::vector<Kept>& found);
  bool write_all(std::unique_lock<std::mutex>& lock);
  void settle(const Written& done, std::vector<Change>&& changes, std::uint64_t number);
  std::optional<KeeperEvent> failed(Why why, const std::string& text);
  KeeperEvent event(KeeperEvent::Kind kind) const;
  void tell(const std::optional<KeeperEvent>& event);
  static std::size_t size(const Changes::value_type& change);

  const StoreSettings store_settings_;
  const KeeperSettings settings_;
  std::unique_ptr<Store> store_;  // the keeper's thread alone, as the next four
  bool looked_ = false;           // the store has been opened in this life
  bool opening_told_ = false;     // in this outage
  unsigned io_failures_ = 0;      // in a row
  Why last_why_ = Why::none;
  const Written no_store_;  // why none was given

  mutable std::mutex mutex_;
  std::condition_variable work_, done_;
  Changes waiting_;
  Changes held_;  // the latest value of each key that was put or remembered, nothing where it was erased
  std::size_t held_bytes_ = 0;
  std::size_t bytes_ = 0;     // of waiting_ and of what is being written
  std::size_t in_hand_ = 0;   // changes being written
  std::uint64_t number_ = 0;  // of the last change taken
  std::uint64_t kept_ = 0;
  bool stopping_ = false;
  KeeperCounts counts_;
  base::Outage outage_;
  base::Thread thread_;  // the first to go
};

}  // namespace reeltack::store
