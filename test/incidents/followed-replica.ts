/** The directory replica that the daemons of a simulated fleet follow, known from their events. */
import type { FleetWorld } from '../../lab/sim/fleet/fleet-world.js';
import type { SimReplica } from '../../lab/sim/sim-directory.js';
import type { EventFields } from '../../src/telemetry/event-log.js';

const CRASH_DURATION_MS = 1_000;

/** Collects the events of all daemons that concern the directory. */
export class DirectoryEvents {
  readonly registrationsEnded: string[] = [];
  /** Number of releases that daemons have reported. */
  releases = 0;
  private followed: string | null = null;

  event(name: string, fields: EventFields): void {
    if (name === 'range-released') this.releases += 1;
    if (name === 'registration-ended') this.registrationsEnded.push(JSON.stringify(fields));
    if (name === 'directory-connected' && typeof fields['replica'] === 'string')
      this.followed = fields['replica'];
  }

  failure(): void {
    // Failures are not recorded.
  }

  routine(): void {
    // Events of requests are not recorded.
  }

  /** Crashes replicas until daemons follow one that does not lead; a former leader forwards nothing when it resumes. */
  async findFollower(world: FleetWorld): Promise<SimReplica> {
    for (;;) {
      const followed = world.directory.replicas.find(({ name }) => name === this.followed);
      if (followed === undefined) throw new Error('invariant broken: daemons follow no replica');
      if (world.directory.leaderReplica() !== followed) return followed;
      world.directory.injectFault('crash', followed, CRASH_DURATION_MS);
      await world.runUntil(world.queue.nowMs + 2 * CRASH_DURATION_MS);
    }
  }
}
