#include <iostream>

#include "ctl/program.hpp"

int main(int argc, char** argv)
{
    return static_cast<int>(
        tarragonquay::ctl::run(argc, argv, std::cout, std::cerr));
}
