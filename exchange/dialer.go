package exchange

import "lentillink.example/lentillink/socket"

var dialer = socket.Dialer()
