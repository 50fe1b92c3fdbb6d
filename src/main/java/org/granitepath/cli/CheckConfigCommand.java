package org.granitepath.cli;

import com.beust.jcommander.Parameters;

/** Checks settings without using them. */
@Parameters(commandDescription = "checks settings and says what is wrong with them")
final class CheckConfigCommand extends Command.WithSettings {
    @Override
    int run() throws Settings.Invalid {
        Settings s = settings();
        System.out.println("ok: " + s.config().node() + " with "
                + s.peerAddresses().size() + " others, " + s.config().teams().size() + " teams");
        return OK;
    }
}
