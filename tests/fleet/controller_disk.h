// One controller's disk over several runs of its process, with injected failures, and the combined log of the
// runs.
#pragma once

#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

#include "base/wall_clock.h"
#include "faulty_vfs.h"
#include "fleet/recovery/values.h"
#include "fleet/service/fleet_storage.h"
#include "script.h"

namespace reeltack::fleet {

class ControllerDisk {
 public:
  ControllerDisk() {
    vfs_.hook = [this](const store::FileStep& step) {
      vfs_.trace.clear();
      return fails && step.before && step.what != "read" ? SQLITE_CANTOPEN : SQLITE_OK;
    };
    settings_.fleet = "fleet-1";
    settings_.store = temp_ / "s";
  }
  std::unique_ptr<FleetStorage> start() {
    return std::make_unique<FleetStorage>(settings_, "n0",
                                          [this](const std::string& event, const std::string& text) {
                                            const std::lock_guard lock(mutex_);
                                            log_ += event + " " + text + "\n";
                                          });
  }
  std::string log() {
    const std::lock_guard lock(mutex_);
    return log_;
  }
  // Writes the stage as an earlier run would have, which ended at the given times.
  void write_stage(const std::string& stage, clocks::WallTime at, const clocks::BootTime& since_boot) const {
    store::StoreSettings store;
    store.dir = settings_.store;
    store.fleet = settings_.fleet;
    store.owner = "n0";
    store::OpenResult opened = store::Store::open(store);
    ASSERT_TRUE(opened.store->write({{recovery::kStageRecord, stage}}, at, since_boot).ok()) << opened.reason;
  }
  [[nodiscard]] std::string file() const { return settings_.store + "/store.db"; }
  void set_clock_back(Duration by) { settings_.wall_offset = -by; }
  std::atomic<bool> fails{false};

 private:
  store::TempDir temp_;
  store::FaultyVfs vfs_{true};
  config::Controllers settings_;
  std::mutex mutex_;
  std::string log_;
};

}  // namespace reeltack::fleet
