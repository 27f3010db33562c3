import java.nio.file.Path;

/**
 * Runs one case: the folder of the case and its name. Exits with 0 if the rule held, 10 if it was broken, and
 * with something else if the case couldn't run: the Java machine itself uses 1.
 */
final class Case {

  private Case() {}

  public static void main(String[] arguments) throws Exception {
    Path folder = Path.of(arguments[0]).toAbsolutePath().normalize();
    Path repository = folder.getParent().getParent();
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code;
    try (Kit.Log log = new Kit.Log(folder.resolve("record.txt"))) {
      log.add("case %s, trouble: %b", arguments[1], trouble);
      try {
        boolean held = switch (arguments[1]) {
          case "SlowReaders" -> SlowReaders.run(repository, trouble, log);
          case "SlowOrigin" -> SlowOrigin.run(repository, trouble, log);
          case "SecondAnswer" -> SecondAnswer.run(repository, trouble, log);
          default -> throw new Kit.CannotRun("no such case: " + arguments[1]);
        };
        code = held ? 0 : 10;
        log.add(held ? "the rule held" : "the rule was broken");
      } catch (Throwable e) {
        code = 2;
        log.add("the case couldn't run: %s", e);
      }
    }
    System.exit(code);
  }
}
