/// Contracts in the platform's store: conditional changes, tombstones of retired contracts, and a
/// history with the author and time of each change.
#pragma once

#include "conditional_write.h"

#include <memory>
#include <optional>
#include <random>
#include <span>

namespace magnolia {

/// A contract with the version of its object.
struct stored_contract {
    contract value;
    std::uint64_t version = 0;

    bool operator==(const stored_contract&) const = default;
};

/// Why a call failed.
struct contract_failure {
    error failure;
    /// The current version, after a conflict.
    std::optional<stored_contract> current;
    /// The change may have taken effect, or may still do so. The caller has to read the contract
    /// before it repeats the change.
    bool may_have_effect = false;
};

template <class T>
using contract_result = tl::expected<T, contract_failure>;

/// Author, time and deadline of a change.
struct change_context {
    std::string changed_by;
    /// Wall clock time of the change, ms since 1970.
    std::int64_t wall_ms = 0;
    time_point deadline;
};

/// One page of a list; `more` if contracts follow.
struct contract_page {
    std::vector<stored_contract> items;
    std::uint64_t revision = 0;
    bool more = false;
};

/// Changes after a revision; `gap` if changes were lost and the contracts have to be listed again.
struct contract_changes {
    std::vector<stored_contract> items;
    std::uint64_t revision = 0;
    bool gap = false;
};

/// Encodes the value of a contract object: the contract and the tokens of its latest writes.
[[nodiscard]] std::string encode_contract(const contract& value,
                                          std::span<const std::string> tokens);
/// Decodes a contract object. Errors: internal if it is malformed.
[[nodiscard]] result<stored_contract> decode_contract(const stored_object& object);

/// Reads and changes contracts through calls to the platform. Used on one thread; callbacks run on
/// it. Changes in progress hold a reference to the store, which has to outlive them.
class contract_store {
public:
    using reply_handler = std::function<void(const result<platform_reply>& reply)>;
    using executor = std::function<void(platform_call call, reply_handler done)>;
    using clock = std::function<time_point()>;
    using change_handler = std::function<void(const contract_result<stored_contract>& outcome)>;

    /// @param execute  executes a call to the platform and passes its reply to the handler.
    /// @param now      monotonic clock.
    /// @param seed     seed of the write tokens; has to differ between processes.
    contract_store(executor execute, clock now, std::uint64_t seed);

    /// Reads one contract. Errors: not_found, platform_down, platform_busy, internal if it is
    /// malformed.
    void get(const std::string& workspace, change_handler done);
    /// Lists the contracts with names after `after`, one page.
    void list(const std::string& after,
              std::function<void(const contract_result<contract_page>& page)> done);
    /// Returns the changes after a revision; waits up to `wait` if there are none.
    void watch(std::uint64_t after_revision, std::chrono::milliseconds wait,
               std::function<void(const contract_result<contract_changes>& changes)> done);
    /// Reads the superseded versions, oldest first, at most the latest 50.
    void history(
        const std::string& workspace,
        std::function<void(const contract_result<std::vector<stored_contract>>& versions)> done);

    /// Creates a contract. Errors: conflict, with the current version, if the name is or was in
    /// use.
    void create(contract value, const change_context& context, change_handler done);
    /// Replaces a contract. Errors: those of get(), conflict, workspace_retired.
    void change(contract value, std::uint64_t expected_version, const change_context& context,
                change_handler done);
    /// Retires a contract and leaves it as a tombstone. Errors: as change().
    void retire(const std::string& workspace, std::uint64_t expected_version,
                const change_context& context, change_handler done);

private:
    struct pending_change;

    /// Reads a contract and calls `on_active` if it is active and has the expected version; else
    /// fails.
    void read_active(const std::string& workspace, std::uint64_t expected_version,
                     change_handler done,
                     std::function<void(const stored_object&, const stored_contract&)> on_active);
    /// Writes a new version over `old`, and adds `old` to the history first.
    void write_version(contract value, const stored_object& old, const change_context& context,
                       const change_handler& done);
    /// Adds the superseded version to the history, then writes the change. Adding the same version
    /// again has no effect, so the step can be repeated.
    void append_to_history(const std::shared_ptr<pending_change>& change, const stored_object& old);
    void write(const std::shared_ptr<pending_change>& change);
    /// Executes the next call of a conditional write, or reports its result.
    void on_step(const std::shared_ptr<pending_change>& change, const write_step& step);
    [[nodiscard]] std::string make_token();

    executor execute_;
    clock now_;
    std::mt19937_64 random_;
};

} // namespace magnolia
