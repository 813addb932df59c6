#include <gtest/gtest.h>

#include "Common/log.h"

namespace {

// Turns off the logs of the code under test, so that they do not hide test failures.
class logging_environment final : public testing::Environment
{
public:
    void SetUp() override
    {
        mango::startLogging("error");
        log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::getOff());
    }
};

const testing::Environment *const registered =
        testing::AddGlobalTestEnvironment(new logging_environment);

} // namespace
