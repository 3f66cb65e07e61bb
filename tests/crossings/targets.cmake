# The tests of events that cross. Paths are relative to tests/, which includes this file.

# What crosses between endpoints, discovery and the core, on sockets with one side held at the byte.
add_executable(endpoint_crossings_tests crossings/endpoint_answers_test.cpp crossings/endpoint_connections_test.cpp
                                        crossings/endpoint_releases_test.cpp crossings/discovery_test.cpp
                                        crossings/discovery_silence_test.cpp crossings/discovery_moves_test.cpp
                                        crossings/caller_releases_test.cpp
                                        crossings/last_releases_test.cpp
                                        crossings/endpoint_restart_test.cpp crossings/endpoint_new_process_test.cpp
                                        crossings/scarce_connections_test.cpp crossings/left_connections_test.cpp
                                        crossings/forgotten_connections_test.cpp)
target_link_libraries(endpoint_crossings_tests PRIVATE reeltack_shutdown reeltack_platform GTest::gtest GTest::gtest_main)
target_include_directories(endpoint_crossings_tests PRIVATE .)
target_compile_options(endpoint_crossings_tests PRIVATE -Wall -Wextra -Wpedantic -Wconversion)
gtest_discover_tests(endpoint_crossings_tests PROPERTIES LABELS node TIMEOUT 60)

# Events that cross, each forced: between callers and the core, at retries, at shutdown and with other settings.
add_executable(crossings_tests crossings/core_crossings_test.cpp crossings/retry_test.cpp
               crossings/caller_close_test.cpp crossings/one_read_test.cpp
               crossings/connection_test.cpp crossings/unread_answers_test.cpp crossings/partial_answer_test.cpp
               crossings/sending_caller_test.cpp crossings/release_after_close_test.cpp
               crossings/shutdown_process_test.cpp
               crossings/settings_process_test.cpp)
target_link_libraries(crossings_tests PRIVATE reeltack_node GTest::gtest GTest::gtest_main)
target_include_directories(crossings_tests PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
target_compile_definitions(crossings_tests PRIVATE REELTACK_BINARY="$<TARGET_FILE:session_controller>")
target_compile_options(crossings_tests PRIVATE -Wall -Wextra -Wpedantic -Wconversion)
add_dependencies(crossings_tests session_controller)
gtest_discover_tests(crossings_tests PROPERTIES LABELS node TIMEOUT 120)

# The same where a system call moves less than it was asked to.
add_executable(partial_write_tests system_calls/partial_write_test.cpp ${fault_sources})
target_include_directories(partial_write_tests PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
target_link_libraries(partial_write_tests PRIVATE reeltack_platform GTest::gtest GTest::gtest_main)
target_link_options(partial_write_tests PRIVATE ${replaced_calls})
target_compile_options(partial_write_tests PRIVATE -Wall -Wextra -Wpedantic -Wconversion)
gtest_discover_tests(partial_write_tests PROPERTIES LABELS node TIMEOUT 60)
