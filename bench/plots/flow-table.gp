# Time of a flow-table lookup against the number of open flows.
set terminal svg size 640,400 background rgb 'white'
set output output_file
set logscale x
set xlabel 'open flows'
set ylabel 'nanoseconds a packet'
set yrange [0:]
set key top left
set grid
plot data.'/hit.dat' with linespoints title 'record found', \
     data.'/miss.dat' with linespoints title 'no record', \
     150 with lines dashtype 2 title 'goal at 300,000 flows'
