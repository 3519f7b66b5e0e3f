#pragma once

namespace CLI
{
class App;
} // namespace CLI

namespace tarragonquay::standins
{

/// Each function adds one subcommand, which runs until SIGTERM.
void add_platform(CLI::App& app);
void add_engine(CLI::App& app);
void add_service(CLI::App& app);
void add_http_platform(CLI::App& app);
void add_proxy(CLI::App& app);
/// Adds the subcommand that becomes another program.
void add_exec(CLI::App& app);

} // namespace tarragonquay::standins
