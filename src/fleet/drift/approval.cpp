#include "fleet/drift/approval.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace reeltack::fleet::drift {
namespace {

constexpr std::size_t kMaxEpochs = 16;  // above the approved one; the lowest are retained
constexpr std::size_t kMaxContents = 8;
constexpr std::size_t kMaxVotes = 8192;
constexpr std::size_t kMaxPartialContents = 16;
constexpr std::size_t kMaxContentsPerEpoch = 4;  // two are a conflict already

}  // namespace

void Approval::restore(const Vote& vote, std::optional<Version> held, std::optional<Version> approved) {
  vote_ = published_ = vote;
  approved_ = std::move(approved);
  held_ = std::move(held);
  if (approved_) vote_.approved = published_.approved = id_of(*approved_);
  if (held_) contents_.emplace(id_of(*held_), *held_);
  if (vote.vote.epoch != 0) note_content(vote.vote);
}

bool Approval::offer(const Version& version) {
  const VersionId id = id_of(version);
  if (!needs(id) || id.epoch > std::max(vote_.approved.epoch, vote_.vote.epoch) + kMaxEpochLead) return false;
  note_content(id);
  if (contents_.size() >= kMaxContents) return false;
  contents_.emplace(id, version);
  cast_vote();
  return true;
}

void Approval::note_content(const VersionId& id) {
  if (id.epoch <= vote_.approved.epoch || id.epoch > vote_.approved.epoch + kMaxEpochLead) return;
  auto& digests = known_digests_[id.epoch];
  if (digests.size() < kMaxContentsPerEpoch) digests.insert(id.digest);
  if (known_digests_.size() > kMaxEpochs) known_digests_.erase(std::prev(known_digests_.end()));
}

void Approval::receive(MemberId from, const Vote& vote) {
  if (from == self_ || (votes_.size() >= kMaxVotes && !votes_.contains(from))) return;
  votes_[from] = vote;
  for (const VersionId& id : {vote.vote, vote.approved})
    if (id.epoch != 0) note_content(id);
}

void Approval::receive(MemberId from, std::size_t index, const VersionPart& part) {
  if (!needs(part.version) || index >= part.count) return;
  if (partial_.size() >= kMaxPartialContents && !partial_.contains({from, part.version}))
    partial_.erase(partial_.begin());
  PartialContent& partial = partial_[{from, part.version}];
  if (partial.count != part.count) partial = {part.count, {}};
  partial.texts[index] = part.text;
  if (partial.texts.size() < partial.count) return;
  std::string text;
  for (const auto& [at, one] : partial.texts) text += one;
  partial_.erase({from, part.version});
  const auto version = read_version(text);
  // A text that does not match its digest is discarded.
  if (version && id_of(*version) == part.version) static_cast<void>(offer(*version));
}

// Votes for the highest epoch above the last vote with exactly one known content, if that content is held.
void Approval::cast_vote() {
  for (auto at = contents_.rbegin(); at != contents_.rend(); ++at) {
    const VersionId& id = at->first;
    if (id.epoch <= vote_.vote.epoch) return;
    const auto known = known_digests_.find(id.epoch);
    if (known != known_digests_.end() && known->second.size() > 1) continue;
    vote_.vote = id;
    held_ = at->second;
    vote_unpersisted_ = true;
    return;
  }
}

std::optional<Vote> Approval::take_vote_to_persist() {
  if (!std::exchange(vote_unpersisted_, false)) return std::nullopt;
  return vote_;
}
void Approval::vote_persisted(const Vote& vote) {
  if (vote.vote.epoch > published_.vote.epoch) published_.vote = vote.vote;
}

std::size_t Approval::votes_for(const VersionId& id) const {
  std::size_t votes = published_.vote == id || published_.approved == id ? 1 : 0;
  for (const auto& [member, vote] : votes_) votes += vote.vote == id || vote.approved == id ? 1 : 0;
  return votes;
}

bool Approval::update_approved(std::size_t agreed) {
  for (auto at = contents_.rbegin(); at != contents_.rend(); ++at) {
    if (at->first.epoch <= vote_.approved.epoch) break;
    if (2 * votes_for(at->first) <= agreed) continue;
    approved_ = at->second;
    vote_.approved = published_.approved = at->first;
    std::erase_if(contents_, [this](const auto& c) { return c.first.epoch <= vote_.approved.epoch; });
    std::erase_if(known_digests_, [this](const auto& k) { return k.first <= vote_.approved.epoch; });
    return true;
  }
  return false;
}

Epoch Approval::conflict() const {
  for (auto at = known_digests_.rbegin(); at != known_digests_.rend(); ++at)
    if (at->first > vote_.approved.epoch && at->second.size() > 1) return at->first;
  return 0;
}

bool Approval::needs(const VersionId& content) const {
  return content.epoch > vote_.approved.epoch && !contents_.contains(content);
}

void Approval::check() const {
  if (published_.vote.epoch > vote_.vote.epoch)
    throw std::logic_error("drift: a vote is published that was not cast");
  if (approved_ && id_of(*approved_) != vote_.approved)
    throw std::logic_error("drift: the approved content does not match its id");
  if (held_ && id_of(*held_) != vote_.vote)
    throw std::logic_error("drift: the content held is not the one voted for");
}

std::string Approval::state() const {
  std::string out =
      drift::write(vote_) + "|" + drift::write(published_) + "|" + (vote_unpersisted_ ? "k" : "");
  for (const auto& [member, vote] : votes_)
    out += "|" + std::to_string(static_cast<std::uint64_t>(member)) + ":" + drift::write(vote);
  for (const auto& [id, version] : contents_)
    out += "|c" + std::to_string(id.epoch) + "," + std::to_string(id.digest);
  for (const auto& [epoch, digests] : known_digests_)
    out += "|n" + std::to_string(epoch) + "x" + std::to_string(digests.size());
  return out;
}

}  // namespace reeltack::fleet::drift
