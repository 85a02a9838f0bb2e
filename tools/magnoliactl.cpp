/// The operators' command line over the administration API. See docs/operators/magnoliactl.md.
#include "contract_rules.h"
#include "explain.h"
#include "http_client.h"
#include "settings.h"

#include <boost/asio/io_context.hpp>
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <optional>

namespace {

using namespace magnolia;
using json = nlohmann::json;

/// Exit codes; documented in docs/operators/magnoliactl.md.
enum class exit_status : int {
    ok = 0,
    failed = 1,
    usage = 2,
    bad_contract = 3,
    conflict = 4,
    not_found = 5,
    unauthorized = 6,
    unavailable = 7,
};

constexpr auto call_timeout = std::chrono::milliseconds{30000};
constexpr unsigned first_failed_status = 400;

const char* const completion = R"(_magnoliactl() {
    local words="create change retire list show watch history diff rollback apply status explain completion"
    local options="--server --key --output --version --dry-run --help"
    local current="${COMP_WORDS[COMP_CWORD]}"
    if [[ $current == -* ]]; then
        COMPREPLY=($(compgen -W "$options" -- "$current"))
    elif [[ $COMP_CWORD -eq 1 ]]; then
        COMPREPLY=($(compgen -W "$words" -- "$current"))
    else
        COMPREPLY=($(compgen -f -- "$current"))
    fi
}
complete -F _magnoliactl magnoliactl
)";

/// A command that ended without success; its text is for stderr.
struct command_failure {
    exit_status status = exit_status::failed;
    std::string text;
};

template <class T>
using outcome_of = tl::expected<T, command_failure>;

tl::unexpected<command_failure> stop(exit_status status, std::string text) {
    return tl::unexpected{command_failure{status, std::move(text)}};
}

struct options {
    endpoint server;
    std::string key;
    bool is_json = false;
    bool is_dry_run = false;
    std::uint64_t version = 0;
    std::vector<std::string> words;
};

exit_status status_of(unsigned http) {
    switch (http) {
    case 401:
        return exit_status::unauthorized;
    case 404:
        return exit_status::not_found;
    case 409:
        return exit_status::conflict;
    case 422:
        return exit_status::bad_contract;
    case 503:
        return exit_status::unavailable;
    default:
        return exit_status::failed;
    }
}

/// One call to the API.
outcome_of<json> call(const options& asked, const std::string& method, const std::string& target,
                      const json& body = {}) {
    boost::asio::io_context context{1};
    http_client client{context};
    http_call_limits limits;
    limits.inactivity_timeout = call_timeout;
    limits.max_body_bytes = std::size_t{64} << 20U;
    http_request request{method, target, {{"Authorization", "Bearer " + asked.key}}, {}};
    if (!body.is_null()) {
        request.body = body.dump();
    }
    std::optional<tl::expected<http_response, http_failure>> answer;
    client.call(asked.server, std::move(request), limits,
                [&answer](auto received) { answer = std::move(received); });
    context.run();
    if (!*answer) {
        return stop(exit_status::unavailable, to_string(answer->error().failure));
    }
    const auto& response = **answer;
    auto document = json::parse(response.body, nullptr, false);
    if (response.status >= first_failed_status) {
        return stop(status_of(response.status), response.body);
    }
    if (document.is_discarded()) {
        return stop(exit_status::failed, "the answer is not JSON");
    }
    return document;
}

std::string path_of(const std::string& workspace) {
    return "/v1/contracts/" + percent_encode(workspace);
}

outcome_of<json> read_file(const std::string& name) {
    const auto document = read_yaml(name);
    if (!document) {
        return stop(exit_status::usage, to_string(document.error()));
    }
    const auto value = read_contract_document(*document);
    if (!value) {
        return stop(exit_status::bad_contract, to_string(value.error()));
    }
    return json(*value);
}

/// Fields that differ between two contracts, one a line.
std::string difference(const json& old, const json& fresh) {
    std::string text;
    for (const auto& [key, value] : fresh.items()) {
        const auto before = old.value(key, json{});
        if (before != value) {
            text += key + ": " + before.dump() + " -> " + value.dump() + '\n';
        }
    }
    return text;
}

json without_audit(json value) {
    value.erase("changed_by");
    value.erase("changed_at_ms");
    return value;
}

void print_row(const json& item) {
    const auto& value = item.at("contract");
    std::cout << std::left << std::setw(32) << value.at("workspace").get<std::string>()
              << std::setw(10) << item.at("version").get<std::uint64_t>() << std::setw(10)
              << value.at("state").get<std::string>() << std::setw(12)
              << value.at("urgency").get<std::string>() << std::setw(20)
              << value.at("changed_by").get<std::string>()
              << value.at("changed_at_ms").get<std::int64_t>() << '\n';
}

void print_rows(const options& asked, const json& items) {
    if (asked.is_json) {
        std::cout << items.dump(2) << '\n';
        return;
    }
    std::cout << std::left << std::setw(32) << "workspace" << std::setw(10) << "version"
              << std::setw(10) << "state" << std::setw(12) << "urgency" << std::setw(20)
              << "changed by"
              << "changed at, ms\n";
    std::ranges::for_each(items, print_row);
}

void print_one(const options& asked, const json& item) {
    if (asked.is_json) {
        std::cout << item.dump(2) << '\n';
    } else {
        std::cout << "# version " << item.at("version") << '\n'
                  << print_yaml(item.at("contract")) << '\n';
    }
}

outcome_of<void> create(const options& asked) {
    return read_file(asked.words.at(1))
        .and_then([&](const json& value) { return call(asked, "POST", "/v1/contracts", value); })
        .map([&](const json& item) { print_one(asked, item); });
}

outcome_of<json> put(const options& asked, const json& value, std::uint64_t version) {
    const auto workspace = value.at("workspace").get<std::string>();
    return call(asked, "PUT", path_of(workspace) + "?expected_version=" + std::to_string(version),
                value);
}

/// Version that a change goes out from: the one given, or the present one.
outcome_of<std::uint64_t> base_version(const options& asked, const std::string& workspace) {
    if (asked.version != 0) {
        return asked.version;
    }
    return call(asked, "GET", path_of(workspace)).map([](const json& item) {
        return item.at("version").get<std::uint64_t>();
    });
}

outcome_of<void> change(const options& asked) {
    const auto value = read_file(asked.words.at(1));
    if (!value) {
        return tl::unexpected{value.error()};
    }
    if (asked.version == 0) {
        return stop(exit_status::usage, "change needs --version, the version that it replaces");
    }
    return put(asked, *value, asked.version).map([&](const json& item) { print_one(asked, item); });
}

outcome_of<void> retire(const options& asked) {
    const auto& workspace = asked.words.at(1);
    return base_version(asked, workspace)
        .and_then([&](std::uint64_t version) {
            return call(asked, "DELETE",
                        path_of(workspace) + "?expected_version=" + std::to_string(version));
        })
        .map([&](const json& item) { print_one(asked, item); });
}

outcome_of<void> list(const options& asked) {
    auto items = json::array();
    std::string after;
    for (bool more = true; more;) {
        const auto page = call(asked, "GET", "/v1/contracts?after=" + percent_encode(after));
        if (!page) {
            return tl::unexpected{page.error()};
        }
        const auto& found = page->at("contracts");
        items.insert(items.end(), found.begin(), found.end());
        more = page->at("more").get<bool>() && !found.empty();
        if (more) {
            after = found.back().at("contract").at("workspace").get<std::string>();
        }
    }
    print_rows(asked, items);
    return {};
}

outcome_of<void> show(const options& asked) {
    return call(asked, "GET", path_of(asked.words.at(1))).map([&](const json& item) {
        print_one(asked, item);
    });
}

/// Prints each change until it is interrupted.
outcome_of<void> watch(const options& asked) {
    auto page = call(asked, "GET", "/v1/contracts");
    while (page) {
        const auto revision = page->at("revision").get<std::uint64_t>();
        page = call(asked, "GET", "/v1/watch?after_revision=" + std::to_string(revision));
        if (page && page->at("gap").get<bool>()) {
            std::cerr << "changes were missed; list again\n";
        }
        if (page) {
            for (const auto& item : page->at("contracts")) {
                asked.is_json ? void(std::cout << item.dump() << '\n') : print_row(item);
            }
            std::cout.flush();
        }
    }
    return tl::unexpected{page.error()};
}

/// Every version that is still known, the present one last.
outcome_of<json> versions_of(const options& asked, const std::string& workspace) {
    auto past = call(asked, "GET", path_of(workspace) + "/history");
    if (!past) {
        return past;
    }
    return call(asked, "GET", path_of(workspace)).map([&](const json& item) {
        auto versions = past->at("versions");
        versions.push_back(item);
        return versions;
    });
}

outcome_of<json> version_of(const json& versions, const std::string& number) {
    const auto found = std::ranges::find_if(versions, [&](const json& item) {
        return std::to_string(item.at("version").get<std::uint64_t>()) == number;
    });
    if (found == versions.end()) {
        return stop(exit_status::not_found, "version " + number + " is not in the history");
    }
    return *found;
}

outcome_of<void> history(const options& asked) {
    return versions_of(asked, asked.words.at(1)).map([&](const json& versions) {
        print_rows(asked, versions);
    });
}

outcome_of<void> diff(const options& asked) {
    const auto versions = versions_of(asked, asked.words.at(1));
    if (!versions) {
        return tl::unexpected{versions.error()};
    }
    const auto old = version_of(*versions, asked.words.at(2));
    const auto fresh = asked.words.size() > 3 ? version_of(*versions, asked.words.at(3))
                                              : outcome_of<json>{versions->back()};
    if (!old || !fresh) {
        return tl::unexpected{old ? fresh.error() : old.error()};
    }
    std::cout << difference(old->at("contract"), fresh->at("contract"));
    return {};
}

/// Writes an old version's content as a new version.
outcome_of<void> rollback(const options& asked) {
    const auto versions = versions_of(asked, asked.words.at(1));
    if (!versions) {
        return tl::unexpected{versions.error()};
    }
    const auto old = version_of(*versions, asked.words.at(2));
    if (!old) {
        return tl::unexpected{old.error()};
    }
    const auto present = versions->back().at("version").get<std::uint64_t>();
    return put(asked, old->at("contract"), asked.version != 0 ? asked.version : present)
        .map([&](const json& item) { print_one(asked, item); });
}

/// Creates or changes one contract to what its file says.
outcome_of<void> apply_file(const options& asked, const std::string& file) {
    const auto value = read_file(file);
    if (!value) {
        return tl::unexpected{value.error()};
    }
    const auto workspace = value->at("workspace").get<std::string>();
    const auto present = call(asked, "GET", path_of(workspace));
    const bool is_new = !present && present.error().status == exit_status::not_found;
    if (!present && !is_new) {
        return tl::unexpected{present.error()};
    }
    const auto old = is_new ? json::object() : without_audit(present->at("contract"));
    const auto changes = difference(old, without_audit(*value));
    std::cout << workspace << ": "
              << (is_new            ? "create\n"
                  : changes.empty() ? "unchanged\n"
                                    : "change\n")
              << changes;
    if (asked.is_dry_run || changes.empty()) {
        return {};
    }
    const auto done = is_new ? call(asked, "POST", "/v1/contracts", *value)
                             : put(asked, *value, present->at("version").get<std::uint64_t>());
    return done.map(
        [](const json& item) { std::cout << "version " << item.at("version") << '\n'; });
}

outcome_of<void> apply(const options& asked) {
    for (std::size_t index = 1; index < asked.words.size(); ++index) {
        if (auto done = apply_file(asked, asked.words[index]); !done) {
            return done;
        }
    }
    return {};
}

outcome_of<void> status(const options& asked) {
    return call(asked, "GET", "/v1/status").map([&](const json& answer) {
        if (asked.is_json) {
            std::cout << answer.at("status").dump(2) << '\n';
            return;
        }
        for (const auto& item : answer.at("status")) {
            std::cout << std::left << std::setw(32) << item.at("name").get<std::string>()
                      << item.at("status").dump() << '\n';
        }
    });
}

outcome_of<void> explain(const options& asked) {
    const auto lines = explain_request(std::cin, asked.words.at(1));
    if (lines.empty()) {
        return stop(exit_status::not_found, "no line about request " + asked.words.at(1));
    }
    for (const auto& line : lines) {
        std::cout << line << '\n';
    }
    return {};
}

outcome_of<void> print_completion(const options& /*asked*/) {
    std::cout << completion;
    return {};
}

struct command {
    std::string_view name;
    std::size_t arguments = 0;
    std::string_view usage;
    outcome_of<void> (*run)(const options& asked) = nullptr;
};

constexpr std::array commands{
    command{"create", 1, "create FILE", create},
    command{"change", 1, "change FILE --version N", change},
    command{"retire", 1, "retire WORKSPACE [--version N]", retire},
    command{"list", 0, "list", list},
    command{"show", 1, "show WORKSPACE", show},
    command{"watch", 0, "watch", watch},
    command{"history", 1, "history WORKSPACE", history},
    command{"diff", 2, "diff WORKSPACE VERSION [VERSION]", diff},
    command{"rollback", 2, "rollback WORKSPACE VERSION [--version N]", rollback},
    command{"apply", 1, "apply FILE ... [--dry-run]", apply},
    command{"status", 0, "status", status},
    command{"explain", 1, "explain REQUEST < LOGS", explain},
    command{"completion", 0, "completion", print_completion},
};

std::string commands_text() {
    std::string text = "\nCommands:\n";
    for (const auto& item : commands) {
        text += "  " + std::string{item.usage} + '\n';
    }
    return text;
}

outcome_of<endpoint> read_server(const std::string& text) {
    const auto colon = text.rfind(':');
    const auto number = colon == std::string::npos ? "" : text.substr(colon + 1);
    endpoint server{text.substr(0, colon), 0};
    const auto [end, failure] =
        std::from_chars(number.data(), number.data() + number.size(), server.port);
    if (failure != std::errc{} || end != number.data() + number.size()) {
        return stop(exit_status::usage, "--server is " + text + "; allowed: ADDRESS:PORT");
    }
    return server;
}

std::string environment(const char* name) {
    const char* value = std::getenv(name);
    return value == nullptr ? "" : value;
}

outcome_of<options> read_options(const cxxopts::ParseResult& parsed) {
    const auto server = read_server(parsed["server"].as<std::string>());
    if (!server) {
        return tl::unexpected{server.error()};
    }
    options asked;
    asked.server = *server;
    asked.key =
        parsed.count("key") > 0 ? parsed["key"].as<std::string>() : environment("MAGNOLIA_KEY");
    const auto form = parsed["output"].as<std::string>();
    if (form != "json" && form != "table") {
        return stop(exit_status::usage, "--output is " + form + "; allowed: table, json");
    }
    asked.is_json = form == "json";
    asked.is_dry_run = parsed["dry-run"].as<bool>();
    asked.version = parsed["version"].as<std::uint64_t>();
    asked.words = parsed["words"].as<std::vector<std::string>>();
    return asked;
}

outcome_of<void> run(const cxxopts::ParseResult& parsed) {
    return read_options(parsed).and_then([](const options& asked) -> outcome_of<void> {
        const auto found = std::ranges::find(commands, asked.words.front(), &command::name);
        if (found == commands.end()) {
            return stop(exit_status::usage, "unknown command " + asked.words.front());
        }
        if (asked.words.size() <= found->arguments) {
            return stop(exit_status::usage, "usage: magnoliactl " + std::string{found->usage});
        }
        return found->run(asked);
    });
}

int report(const outcome_of<void>& done) {
    if (done) {
        return static_cast<int>(exit_status::ok);
    }
    std::cerr << "magnoliactl: " << done.error().text << '\n';
    return static_cast<int>(done.error().status);
}

} // namespace

int main(int argc, char** argv) {
    cxxopts::Options known{"magnoliactl", "Writes, changes and retires contracts."};
    const auto server = environment("MAGNOLIA_SERVER");
    known.add_options()(
        "server", "administration API, ADDRESS:PORT; MAGNOLIA_SERVER",
        cxxopts::value<std::string>()->default_value(server.empty() ? "127.0.0.1:8090" : server))(
        "key", "operator's key; better given as MAGNOLIA_KEY",
        cxxopts::value<std::string>()->default_value(""))(
        "output", "table or json", cxxopts::value<std::string>()->default_value("table"))(
        "version", "version that the change replaces",
        cxxopts::value<std::uint64_t>()->default_value("0"))(
        "dry-run", "only say what would change", cxxopts::value<bool>()->default_value("false"))(
        "words", "", cxxopts::value<std::vector<std::string>>())("help", "this text");
    known.parse_positional({"words"});
    known.positional_help("COMMAND ...");
    try {
        const auto parsed = known.parse(argc, argv);
        if (parsed.count("help") > 0 || parsed.count("words") == 0) {
            std::cout << known.help() << commands_text();
            return static_cast<int>(parsed.count("help") > 0 ? exit_status::ok
                                                             : exit_status::usage);
        }
        return report(run(parsed));
    } catch (const std::exception& failure) {
        return report(stop(exit_status::usage, failure.what()));
    }
}
