/// Command line client of the administration API, for operators. See docs/operators/magnoliactl.md.
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

/// Exit codes, as documented in docs/operators/magnoliactl.md.
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

/// Inactivity timeout of a call to the API.
constexpr auto call_timeout = std::chrono::milliseconds{30000};
constexpr unsigned first_failed_status = 400;

/// Completion script for bash, printed by the command `completion`.
const char* const completion_script = R"(_magnoliactl() {
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

/// Failure of a command: the exit code and the message for stderr.
struct command_failure {
    exit_status status = exit_status::failed;
    std::string text;
};

template <class T>
using command_result = tl::expected<T, command_failure>;

tl::unexpected<command_failure> command_error(exit_status status, std::string text) {
    return tl::unexpected{command_failure{status, std::move(text)}};
}

/// Parsed command line.
struct options {
    endpoint server;
    std::string key;
    bool is_json = false;
    bool is_dry_run = false;
    /// Version that a change replaces; 0 if not given.
    std::uint64_t version = 0;
    /// Name of the command, followed by its operands.
    std::vector<std::string> operands;
};

/// Exit status for an HTTP status of the API.
exit_status exit_status_for(unsigned http) {
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

/// Calls the API and waits for the response. Returns its JSON document, or a failure with the exit
/// status of the HTTP status.
command_result<json> call(const options& opts, const std::string& method, const std::string& target,
                          const json& body = {}) {
    boost::asio::io_context context{1};
    http_client client{context};
    http_call_limits limits;
    limits.inactivity_timeout = call_timeout;
    limits.max_body_bytes = std::size_t{64} << 20U;
    http_request request{method, target, {{"Authorization", "Bearer " + opts.key}}, {}};
    if (!body.is_null()) {
        request.body = body.dump();
    }
    std::optional<tl::expected<http_response, http_failure>> reply;
    client.call(opts.server, std::move(request), limits,
                [&reply](auto received) { reply = std::move(received); });
    context.run();
    if (!*reply) {
        return command_error(exit_status::unavailable, to_string(reply->error().failure));
    }
    const auto& response = **reply;
    auto document = json::parse(response.body, nullptr, false);
    if (response.status >= first_failed_status) {
        return command_error(exit_status_for(response.status), response.body);
    }
    if (document.is_discarded()) {
        return command_error(exit_status::failed,
                             "the response of the administration API is not JSON");
    }
    return document;
}

std::string contract_path(const std::string& workspace) {
    return "/v1/contracts/" + percent_encode(workspace);
}

/// Reads a contract from a YAML file and validates it.
command_result<json> read_contract_file(const std::string& name) {
    const auto document = read_yaml(name);
    if (!document) {
        return command_error(exit_status::usage, to_string(document.error()));
    }
    const auto value = read_contract_document(*document);
    if (!value) {
        return command_error(exit_status::bad_contract, to_string(value.error()));
    }
    return json(*value);
}

/// Lists the fields of `updated` that differ from those of `old`, one per line.
std::string contract_diff(const json& old, const json& updated) {
    std::string text;
    for (const auto& [key, value] : updated.items()) {
        const auto before = old.value(key, json{});
        if (before != value) {
            text += key + ": " + before.dump() + " -> " + value.dump() + '\n';
        }
    }
    return text;
}

/// Removes the fields that the administration API sets at each change.
json without_audit_fields(json value) {
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

void print_rows(const options& opts, const json& items) {
    if (opts.is_json) {
        std::cout << items.dump(2) << '\n';
        return;
    }
    std::cout << std::left << std::setw(32) << "workspace" << std::setw(10) << "version"
              << std::setw(10) << "state" << std::setw(12) << "urgency" << std::setw(20)
              << "changed by"
              << "changed at, ms\n";
    std::ranges::for_each(items, print_row);
}

void print_contract(const options& opts, const json& item) {
    if (opts.is_json) {
        std::cout << item.dump(2) << '\n';
    } else {
        std::cout << "# version " << item.at("version") << '\n'
                  << print_yaml(item.at("contract")) << '\n';
    }
}

command_result<void> create(const options& opts) {
    return read_contract_file(opts.operands.at(1))
        .and_then([&](const json& value) { return call(opts, "POST", "/v1/contracts", value); })
        .map([&](const json& item) { print_contract(opts, item); });
}

/// Replaces `version` of the contract in `value`.
command_result<json> put(const options& opts, const json& value, std::uint64_t version) {
    const auto workspace = value.at("workspace").get<std::string>();
    return call(opts, "PUT",
                contract_path(workspace) + "?expected_version=" + std::to_string(version), value);
}

/// Version that a change replaces: the one given on the command line, else the current one.
command_result<std::uint64_t> replaced_version(const options& opts, const std::string& workspace) {
    if (opts.version != 0) {
        return opts.version;
    }
    return call(opts, "GET", contract_path(workspace)).map([](const json& item) {
        return item.at("version").get<std::uint64_t>();
    });
}

command_result<void> change(const options& opts) {
    const auto value = read_contract_file(opts.operands.at(1));
    if (!value) {
        return tl::unexpected{value.error()};
    }
    if (opts.version == 0) {
        return command_error(exit_status::usage,
                             "change requires --version, the version to replace");
    }
    return put(opts, *value, opts.version).map([&](const json& item) {
        print_contract(opts, item);
    });
}

command_result<void> retire(const options& opts) {
    const auto& workspace = opts.operands.at(1);
    return replaced_version(opts, workspace)
        .and_then([&](std::uint64_t version) {
            return call(opts, "DELETE",
                        contract_path(workspace) + "?expected_version=" + std::to_string(version));
        })
        .map([&](const json& item) { print_contract(opts, item); });
}

command_result<void> list(const options& opts) {
    auto items = json::array();
    std::string after;
    for (bool more = true; more;) {
        const auto page = call(opts, "GET", "/v1/contracts?after=" + percent_encode(after));
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
    print_rows(opts, items);
    return {};
}

command_result<void> show(const options& opts) {
    return call(opts, "GET", contract_path(opts.operands.at(1))).map([&](const json& item) {
        print_contract(opts, item);
    });
}

/// Prints each change until the program is interrupted.
command_result<void> watch(const options& opts) {
    auto page = call(opts, "GET", "/v1/contracts");
    while (page) {
        const auto revision = page->at("revision").get<std::uint64_t>();
        page = call(opts, "GET", "/v1/watch?after_revision=" + std::to_string(revision));
        if (page && page->at("gap").get<bool>()) {
            std::cerr
                << "some changes were missed; run magnoliactl list for the current contracts\n";
        }
        if (page) {
            for (const auto& item : page->at("contracts")) {
                opts.is_json ? void(std::cout << item.dump() << '\n') : print_row(item);
            }
            std::cout.flush();
        }
    }
    return tl::unexpected{page.error()};
}

/// All versions in the history, followed by the current one.
command_result<json> fetch_versions(const options& opts, const std::string& workspace) {
    auto earlier = call(opts, "GET", contract_path(workspace) + "/history");
    if (!earlier) {
        return earlier;
    }
    return call(opts, "GET", contract_path(workspace)).map([&](const json& item) {
        auto versions = earlier->at("versions");
        versions.push_back(item);
        return versions;
    });
}

/// The version with the given number.
command_result<json> find_version(const json& versions, const std::string& number) {
    const auto found = std::ranges::find_if(versions, [&](const json& item) {
        return std::to_string(item.at("version").get<std::uint64_t>()) == number;
    });
    if (found == versions.end()) {
        return command_error(exit_status::not_found,
                             "version " + number + " is not in the history");
    }
    return *found;
}

command_result<void> history(const options& opts) {
    return fetch_versions(opts, opts.operands.at(1)).map([&](const json& versions) {
        print_rows(opts, versions);
    });
}

command_result<void> diff(const options& opts) {
    const auto versions = fetch_versions(opts, opts.operands.at(1));
    if (!versions) {
        return tl::unexpected{versions.error()};
    }
    const auto old = find_version(*versions, opts.operands.at(2));
    const auto updated = opts.operands.size() > 3 ? find_version(*versions, opts.operands.at(3))
                                                  : command_result<json>{versions->back()};
    if (!old || !updated) {
        return tl::unexpected{old ? updated.error() : old.error()};
    }
    std::cout << contract_diff(old->at("contract"), updated->at("contract"));
    return {};
}

/// Writes the content of an old version as a new version.
command_result<void> rollback(const options& opts) {
    const auto versions = fetch_versions(opts, opts.operands.at(1));
    if (!versions) {
        return tl::unexpected{versions.error()};
    }
    const auto old = find_version(*versions, opts.operands.at(2));
    if (!old) {
        return tl::unexpected{old.error()};
    }
    const auto latest = versions->back().at("version").get<std::uint64_t>();
    return put(opts, old->at("contract"), opts.version != 0 ? opts.version : latest)
        .map([&](const json& item) { print_contract(opts, item); });
}

/// Creates or changes a contract to match a file.
command_result<void> apply_file(const options& opts, const std::string& file) {
    const auto value = read_contract_file(file);
    if (!value) {
        return tl::unexpected{value.error()};
    }
    const auto workspace = value->at("workspace").get<std::string>();
    const auto latest = call(opts, "GET", contract_path(workspace));
    const bool is_new = !latest && latest.error().status == exit_status::not_found;
    if (!latest && !is_new) {
        return tl::unexpected{latest.error()};
    }
    const auto old = is_new ? json::object() : without_audit_fields(latest->at("contract"));
    const auto changes = contract_diff(old, without_audit_fields(*value));
    std::cout << workspace << ": "
              << (is_new            ? "create\n"
                  : changes.empty() ? "unchanged\n"
                                    : "change\n")
              << changes;
    if (opts.is_dry_run || changes.empty()) {
        return {};
    }
    const auto completed = is_new ? call(opts, "POST", "/v1/contracts", *value)
                                  : put(opts, *value, latest->at("version").get<std::uint64_t>());
    return completed.map(
        [](const json& item) { std::cout << "version " << item.at("version") << '\n'; });
}

command_result<void> apply(const options& opts) {
    for (std::size_t index = 1; index < opts.operands.size(); ++index) {
        if (auto completed = apply_file(opts, opts.operands[index]); !completed) {
            return completed;
        }
    }
    return {};
}

command_result<void> status(const options& opts) {
    return call(opts, "GET", "/v1/status").map([&](const json& document) {
        if (opts.is_json) {
            std::cout << document.at("status").dump(2) << '\n';
            return;
        }
        for (const auto& item : document.at("status")) {
            std::cout << std::left << std::setw(32) << item.at("name").get<std::string>()
                      << item.at("status").dump() << '\n';
        }
    });
}

command_result<void> explain(const options& opts) {
    const auto lines = explain_request(std::cin, opts.operands.at(1));
    if (lines.empty()) {
        return command_error(exit_status::not_found,
                             "no log line on standard input is about request " +
                                 opts.operands.at(1));
    }
    for (const auto& line : lines) {
        std::cout << line << '\n';
    }
    return {};
}

command_result<void> print_completion_script(const options& /*opts*/) {
    std::cout << completion_script;
    return {};
}

/// A command with its minimum number of operands.
struct command {
    std::string_view name;
    /// Number of required operands, without the name of the command.
    std::size_t min_operands = 0;
    std::string_view usage;
    command_result<void> (*run)(const options& opts) = nullptr;
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
    command{"completion", 0, "completion", print_completion_script},
};

std::string commands_text() {
    std::string text = "\nCommands:\n";
    for (const auto& item : commands) {
        text += "  " + std::string{item.usage} + '\n';
    }
    return text;
}

/// Parses ADDRESS:PORT.
command_result<endpoint> parse_server(const std::string& text) {
    const auto colon = text.rfind(':');
    const auto number = colon == std::string::npos ? "" : text.substr(colon + 1);
    endpoint server{text.substr(0, colon), 0};
    const auto [end, failure] =
        std::from_chars(number.data(), number.data() + number.size(), server.port);
    if (failure != std::errc{} || end != number.data() + number.size()) {
        return command_error(exit_status::usage, "--server is " + text + "; allowed: ADDRESS:PORT");
    }
    return server;
}

std::string environment_variable(const char* name) {
    const char* value = std::getenv(name);
    return value == nullptr ? "" : value;
}

command_result<options> parse_options(const cxxopts::ParseResult& parsed) {
    const auto server = parse_server(parsed["server"].as<std::string>());
    if (!server) {
        return tl::unexpected{server.error()};
    }
    options opts;
    opts.server = *server;
    opts.key = parsed.count("key") > 0 ? parsed["key"].as<std::string>()
                                       : environment_variable("MAGNOLIA_KEY");
    const auto output_format = parsed["output"].as<std::string>();
    if (output_format != "json" && output_format != "table") {
        return command_error(exit_status::usage,
                             "--output is " + output_format + "; allowed: table, json");
    }
    opts.is_json = output_format == "json";
    opts.is_dry_run = parsed["dry-run"].as<bool>();
    opts.version = parsed["version"].as<std::uint64_t>();
    opts.operands = parsed["words"].as<std::vector<std::string>>();
    return opts;
}

command_result<void> run(const cxxopts::ParseResult& parsed) {
    return parse_options(parsed).and_then([](const options& opts) -> command_result<void> {
        const auto found = std::ranges::find(commands, opts.operands.front(), &command::name);
        if (found == commands.end()) {
            return command_error(exit_status::usage, "unknown command " + opts.operands.front());
        }
        if (opts.operands.size() <= found->min_operands) {
            return command_error(exit_status::usage,
                                 "usage: magnoliactl " + std::string{found->usage});
        }
        return found->run(opts);
    });
}

/// Prints the failure, if there is one, and returns the exit code.
int report(const command_result<void>& completed) {
    if (completed) {
        return static_cast<int>(exit_status::ok);
    }
    std::cerr << "magnoliactl: " << completed.error().text << '\n';
    return static_cast<int>(completed.error().status);
}

} // namespace

int main(int argc, char** argv) {
    cxxopts::Options parser{"magnoliactl", "Creates, changes, retires and inspects contracts."};
    const auto server = environment_variable("MAGNOLIA_SERVER");
    parser.add_options()(
        "server", "ADDRESS:PORT of the administration API; also set by MAGNOLIA_SERVER",
        cxxopts::value<std::string>()->default_value(server.empty() ? "127.0.0.1:8090" : server))(
        "key", "operator's API key; preferably set by MAGNOLIA_KEY",
        cxxopts::value<std::string>()->default_value(""))(
        "output", "output format: table or json",
        cxxopts::value<std::string>()->default_value("table"))(
        "version", "contract version that the change replaces",
        cxxopts::value<std::uint64_t>()->default_value("0"))(
        "dry-run", "print the changes without applying them",
        cxxopts::value<bool>()->default_value("false"))(
        "words", "", cxxopts::value<std::vector<std::string>>())("help", "print this help");
    parser.parse_positional({"words"});
    parser.positional_help("COMMAND ...");
    try {
        const auto parsed = parser.parse(argc, argv);
        if (parsed.count("help") > 0 || parsed.count("words") == 0) {
            std::cout << parser.help() << commands_text();
            return static_cast<int>(parsed.count("help") > 0 ? exit_status::ok
                                                             : exit_status::usage);
        }
        return report(run(parsed));
    } catch (const std::exception& failure) {
        return report(command_error(exit_status::usage, failure.what()));
    }
}
