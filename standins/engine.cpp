#include "standins/programs.hpp"
#include <CLI/CLI.hpp>
namespace tarragonquay::standins
{
void add_engine(CLI::App&) {}
} // namespace tarragonquay::standins
