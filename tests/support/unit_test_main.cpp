#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <string>

namespace
{

// Adds the tests whose path contains the filter to the runner.
void add_matching(
    CppUnit::TestRunner& runner, CppUnit::Test* test, const std::string& filter)
{
    if (test->getChildTestCount() == 0)
    {
        if (test->getName().find(filter) != std::string::npos)
            runner.addTest(test);
        return;
    }
    for (int i = 0; i < test->getChildTestCount(); ++i)
        add_matching(runner, test->getChildTestAt(i), filter);
}

} // namespace

// Runs all registered suites, or the test cases whose name contains argv[1].
int main(int argc, char** argv)
{
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&collector);
    controller.addListener(&progress);

    CppUnit::Test* all = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
    CppUnit::TestRunner runner;
    if (argc > 1)
        add_matching(runner, all, argv[1]);
    else
        runner.addTest(all);
    runner.run(controller);

    CppUnit::CompilerOutputter outputter(&collector, std::cerr);
    outputter.write();
    return collector.wasSuccessful() ? 0 : 1;
}
