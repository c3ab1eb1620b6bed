/** Exit codes of all commands; see the table in docs/OPERATIONS.md. */
export const EXIT_CODE = {
  /** The command did what was asked. */
  done: 0,
  /** What was asked was refused, or a check found problems. */
  refused: 1,
  /** The command line or a settings file is wrong. */
  usage: 2,
  /** No control replica could be reached, or none leads. */
  unreachable: 3,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof EXIT_CODE)[keyof typeof EXIT_CODE];
