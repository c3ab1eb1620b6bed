/** Exit codes of all commands; docs/OPERATIONS.md lists them. */
export const EXIT_CODE = {
  /** The command succeeded. */
  done: 0,
  /** The request was refused, or a check found problems. */
  refused: 1,
  /** The command line or a settings file is invalid. */
  usage: 2,
  /** No control replica could be reached, or there is no leader. */
  unreachable: 3,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof EXIT_CODE)[keyof typeof EXIT_CODE];
