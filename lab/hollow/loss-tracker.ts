/** Notices on a router's table when every shard of a back end that was made to fail is owned by another session. */
import type { WatchedTable } from '../../src/control-client/watched-table.js';
import type { Session } from '../../src/control/control-state.js';

/** Follows the loss of one back end at a time; costs nothing while none is awaited. */
export class LossTracker {
  private awaited: Session | null = null;

  constructor(
    private readonly table: WatchedTable,
    private readonly onRepaired: (backend: string, session: number) => void,
  ) {}

  /** A back end is about to fail. */
  awaitLossOf(backend: string): void {
    this.awaited = this.table.sessionOf(backend) ?? null;
  }

  /** The table has changed. */
  update(): void {
    const { awaited } = this;
    if (awaited === null || this.table.sessions.has(awaited.id)) return;
    for (const row of this.table.rowsOf(awaited.service)) {
      if (row.owner === null || row.session === awaited.id) return;
    }
    this.awaited = null;
    this.onRepaired(awaited.backend, awaited.id);
  }
}
