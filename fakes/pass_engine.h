/// Stand-in for one engine of the users' platform: it works in passes, reads parts for other
/// engines before its own prompts, and knows nothing of the forecasts that gateways make of it.
#pragma once

#include "forward_types.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace magnolia {

/// Engines of the users' sites, as their configuration states them.
[[nodiscard]] engine_profile production_engine_profile();

/// Work of one request on one engine.
struct engine_work {
    std::uint64_t id = 0;
    /// Tokens to read here, and the attention_pairs of the first and of each next one.
    double prefill_tokens = 0;
    double first_attention_span = 0;
    double attention_span_increment = 1;
    /// Read for another engine.
    bool is_helper = false;
    /// Other engines read parts; the answer starts_decoding with release().
    bool has_helpers = false;
    std::uint32_t memory_tokens = 0;
    /// Context that each step pays for, tokens.
    double context_tokens = 0;
    double answer_tokens = 0;
};

/// What a pass has brought.
struct pass_event {
    enum class kind : std::uint8_t { prefilled, event, last_event };
    std::uint64_t id = 0;
    kind type = kind::event;
};

class pass_engine {
public:
    explicit pass_engine(const engine_profile& profile) : profile_{profile} {}

    void add(const engine_work& work, time_point now);
    void remove(std::uint64_t id, time_point now);
    /// All parts of a prompt are read: its answer starts_decoding with the next pass.
    void start_decoding(std::uint64_t id, time_point now);
    /// End of the pass under way.
    [[nodiscard]] std::optional<time_point> pass_end() const { return pass_end_; }
    /// Ends the pass under way and starts_decoding the next one.
    std::vector<pass_event> end_pass();
    /// Time in which it had work.
    [[nodiscard]] duration busy_time() const { return busy_time_; }

private:
    struct work_item {
        engine_work work;
        bool is_admitted = false;
        bool is_decoding = false;
        double prefilled = 0;
        double pass_tokens = 0;
        double decoded = 0;
    };

    void admit();
    void begin_pass(time_point at);
    [[nodiscard]] work_item* find(std::uint64_t id);

    engine_profile profile_;
    std::vector<work_item> items_;
    std::optional<time_point> pass_end_;
    duration busy_time_{0};
};

} // namespace magnolia
