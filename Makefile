# Common development tasks; CI runs .ci/run.
.PHONY: build test lint format run soak clean

CONFIG ?= $(PROXY_CONFIG)
SEEDS ?= 1-12
SOAK ?=

build:            ## builds the executable jar, target/beampoint.jar
	mvn -B -DskipTests package

test:             ## runs all tests and both style checks, as CI does
	mvn -B verify

lint:             ## runs only the style check and the formatter check
	mvn -B checkstyle:check@default formatter:validate@default

format:           ## formats the sources with the formatter profile
	mvn -B formatter:format

run: build        ## runs one proxy; CONFIG is the path of its configuration file
	java -jar target/beampoint.jar serve --config $(CONFIG)

clean:
	mvn -B clean

soak:             ## runs real proxies with faults and signals by seed; SEEDS=1-50 for a longer run
	java -cp target/test-classes:target/beampoint.jar beampoint.soak.SoakMain --seeds $(SEEDS) $(SOAK)
