Feature: Modules import what they use, since packages import on first access

  Scenario: No module relies on a submodule that another one imported
    Guards against commands that fail on an attribute once the module that
    happened to import it before is imported later.
    Then no module names a submodule that it does not import

  Scenario: Every module can be imported first
    Guards against circular imports that show only in one order.
    Then each module can be imported by a fresh interpreter

  Scenario: A sidecar imports little more than its libraries
    Guards against starts that take more than 1.3 times what the libraries of
    every sidecar take.
    Then a sidecar imports at most 1.3 times the modules of its libraries

  Scenario: A sidecar imports no library of other commands
    Guards against starts that again take twice the processor time.
    Then a sidecar imports none of "aiohttp cleo prometheus_client opentelemetry"
