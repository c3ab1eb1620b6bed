/** Faults of a simulation, as plain data: a schedule can be printed, shrunk and run again. */

/** What a fault hits. Control replicas are numbered; `leader` is whoever leads when it begins. */
export type ControlTarget = number | 'leader';

/** One fault; `atMs` and `lastsMs` in virtual ms. */
export type SimFault = {
  readonly atMs: number;
  readonly lastsMs: number;
} & (
  | { readonly kind: 'crash-control'; readonly target: ControlTarget; readonly loseDisk: boolean }
  | { readonly kind: 'freeze-control'; readonly target: ControlTarget }
  | {
      readonly kind: 'cut-control';
      readonly target: ControlTarget;
      readonly directions: 'both' | 'outgoing' | 'incoming';
    }
  /** A back end and its agent. */
  | { readonly kind: 'crash-machine'; readonly target: number }
  | { readonly kind: 'freeze-machine'; readonly target: number }
  | { readonly kind: 'freeze-backend'; readonly target: number }
  | { readonly kind: 'freeze-agent'; readonly target: number }
  | { readonly kind: 'crash-agent'; readonly target: number }
  | { readonly kind: 'crash-backend'; readonly target: number }
  | { readonly kind: 'cut-machine'; readonly target: number; readonly from: 'control' | 'everyone' }
  | { readonly kind: 'crash-router'; readonly target: number }
  | { readonly kind: 'freeze-router'; readonly target: number }
  | { readonly kind: 'cut-router'; readonly target: number }
  /** Drained, then stopped in order when it is empty, then started and taken back. */
  | { readonly kind: 'drain'; readonly target: number }
  /** Two operators submit with the same revision, and each sends again as if its answer was lost. */
  | { readonly kind: 'operators-race' }
  /** Many changes of configuration, one after the other. */
  | { readonly kind: 'many-changes'; readonly count: number }
);
