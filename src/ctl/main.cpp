#include <cstdlib>
#include <iostream>

#include <grpc/support/log.h>

#include "ctl/program.hpp"

int main(int argc, char** argv)
{
    // gRPC writes to stderr, where scripts expect only 'tqctl: <code>: ...'.
    if (std::getenv("GRPC_VERBOSITY") == nullptr)
        gpr_set_log_function([](gpr_log_func_args*) {});
    return static_cast<int>(
        tarragonquay::ctl::run(argc, argv, std::cout, std::cerr));
}
