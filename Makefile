# The everyday tasks; CI runs .ci/run.
.PHONY: build test lint run clean

CONFIG ?= $(PROXY_CONFIG)

build:            ## the runnable jar, target/beampoint.jar
	mvn -B -DskipTests package

test:             ## all tests and the style check, as CI runs them
	mvn -B verify

lint:             ## the style check alone
	mvn -B checkstyle:check@default

run: build        ## one proxy; CONFIG names its configuration file
	java -jar target/beampoint.jar serve --config $(CONFIG)

clean:
	mvn -B clean
